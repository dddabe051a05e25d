"""Sends reports to peers and receives theirs, over datagrams."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterable
from typing import Final

import eliot

from carawaydoor.fleet import codec, membership
from carawaydoor.operating import options

# Time in seconds from the start to the first round of reports.
FIRST_ROUND_S: Final = 0.05
# Largest datagram of UDP over IPv4 in bytes.
MAX_DATAGRAM_BYTES: Final = 65_507

Receive = Callable[[membership.Report], None]
# Returns the next report, the hosts that it goes to, and the time in seconds to the one after it.
Compose = Callable[[], tuple[membership.Report, Iterable[str], float]]


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

    def send_now(self) -> float:
        """Send a round of reports and return the time in seconds to the next."""
        report, hosts, interval_s = self._compose()
        content = codec.encode(report)
        for host in hosts:
            try:
                self._socket.sendto(content, (host, self._port))
            except OSError as error:
                # Datagrams may be lost at any time; the next round carries the same and more.
                eliot.log_message(message_type="report_not_sent", host=host, detail=repr(error))
        return interval_s

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
        interval_s = FIRST_ROUND_S
        while not self._stopped.wait(interval_s):
            try:
                interval_s = self.send_now()
            except Exception:
                eliot.write_traceback()
