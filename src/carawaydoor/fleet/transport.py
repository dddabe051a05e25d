"""Sends reports to peers and receives theirs, over datagrams."""

from __future__ import annotations

import abc
import socket
import threading
from collections.abc import Iterable
from typing import Final

import eliot

from carawaydoor.fleet import codec, gossip
from carawaydoor.operating import clocks, platform_options

# Time in seconds from the start to the first round of reports.
FIRST_ROUND_DELAY_S: Final = 0.05
# Largest datagram of UDP over IPv4 in bytes.
MAX_DATAGRAM_BYTES: Final = 65_507


class ReportHandler(abc.ABC):
    """Writes the reports that are sent and reads those that are received."""

    @abc.abstractmethod
    def compose_report(self) -> tuple[gossip.Report, Iterable[str], float]:
        """Return the next report, its hosts, and the time in seconds to the one after it."""

    @abc.abstractmethod
    def compose_work_report(self) -> tuple[gossip.WorkReport, Iterable[str]]:
        """Return a report on the work just begun, and the hosts that it goes to."""

    @abc.abstractmethod
    def handle_report(self, report: codec.AnyReport) -> None:
        """Take the report of a peer."""


class UdpTransport:
    """Owns the socket for datagrams between instances."""

    def __init__(
        self, address: platform_options.Address, report_handler: ReportHandler, clock: clocks.Clock
    ) -> None:
        self._port = address.port
        self._report_handler = report_handler
        self._clock = clock
        self._new_work = threading.Event()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((address.host, address.port))
        self._threads = (
            threading.Thread(target=self._receive_reports, name="peer-listener", daemon=True),
            threading.Thread(target=self._send_reports, name="peer-reporter", daemon=True),
        )

    def start(self) -> None:
        """Begin to listen and to report."""
        for thread in self._threads:
            thread.start()

    def announce_work(self) -> None:
        """Tell peers of work that has just begun, without waiting for the next round."""
        self._new_work.set()

    def send_round(self) -> float:
        """Send a round of reports and return the time in seconds to the next."""
        report, hosts, interval_s = self._report_handler.compose_report()
        self._send(report, hosts)
        return interval_s

    def _send(self, report: codec.AnyReport, hosts: Iterable[str]) -> None:
        content = codec.encode(report)
        for host in hosts:
            try:
                self._socket.sendto(content, (host, self._port))
            except OSError as error:
                # Datagrams may be lost at any time; the next round carries the same and more.
                eliot.log_message(message_type="report_not_sent", host=host, detail=repr(error))

    def _receive_reports(self) -> None:
        while True:
            try:
                content, _ = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
                self._report_handler.handle_report(codec.decode(content))
            except codec.CodecError as error:
                eliot.log_message(message_type="report_malformed", detail=str(error))
            except Exception:
                eliot.write_traceback()

    def _send_reports(self) -> None:
        round_s = self._clock.now_s() + FIRST_ROUND_DELAY_S
        while True:
            try:
                left_s = round_s - self._clock.now_s()
                if left_s > 0.0 and self._new_work.wait(left_s):
                    self._new_work.clear()
                    self._send(*self._report_handler.compose_work_report())
                else:
                    round_s = self._clock.now_s() + self.send_round()
            except Exception:
                eliot.write_traceback()
                round_s = self._clock.now_s() + FIRST_ROUND_DELAY_S
