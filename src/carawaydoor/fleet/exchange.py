"""Sends reports to peers and receives theirs, over datagrams."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterable
from typing import Final

import eliot

from carawaydoor.fleet import codec, membership
from carawaydoor.operating import options

# Interval in seconds between two rounds of reports: a fraction of the time that a prompt takes to
# be read, so that placements see most of each other's work.
REPORT_INTERVAL_S: Final = 0.05
# Largest datagram of UDP over IPv4 in bytes.
MAX_DATAGRAM_BYTES: Final = 65_507

Receive = Callable[[membership.Report], None]
# Returns the next report and the addresses that it goes to.
Compose = Callable[[], tuple[membership.Report, Iterable[str]]]


class Exchange:
    """Owns the socket for datagrams between instances."""

    def __init__(self, address: options.Address, compose: Compose, receive: Receive) -> None:
        self._port = address.port
        self._compose = compose
        self._receive = receive
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((address.host, address.port))
        self._stopped = threading.Event()
        self._threads = (
            threading.Thread(target=self._listen, name="peer-listener", daemon=True),
            threading.Thread(target=self._report, name="peer-reporter", daemon=True),
        )

    def start(self) -> None:
        """Begin to listen and to report."""
        for thread in self._threads:
            thread.start()

    def send_now(self) -> None:
        """Send a round of reports at once."""
        report, hosts = self._compose()
        content = codec.encode(report)
        for host in hosts:
            try:
                self._socket.sendto(content, (host, self._port))
            except OSError as error:
                # Datagrams may be lost at any time; the next round carries the same and more.
                eliot.log_message(message_type="report_not_sent", host=host, detail=repr(error))

    def _listen(self) -> None:
        while True:
            try:
                content, _ = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
                self._receive(codec.decode(content))
            except codec.CodecError as error:
                eliot.log_message(message_type="report_malformed", detail=str(error))
            except Exception:
                eliot.write_traceback()

    def _report(self) -> None:
        while not self._stopped.wait(REPORT_INTERVAL_S):
            try:
                self.send_now()
            except Exception:
                eliot.write_traceback()
