"""Sends reports to peers and receives theirs over UDP."""

from __future__ import annotations

import abc
import socket
import threading
import time
from collections.abc import Iterable
from typing import Final

import eliot

from carawaydoor.fleet import codec, reports
from carawaydoor.operating import clocks, platform_options

# Also the delay of the next round after an unexpected error.
FIRST_ROUND_DELAY_S: Final = 0.05
# Changes of work within this time share one report.
MIN_WORK_REPORT_INTERVAL_S: Final = 0.05
# Datagrams that arrive within this time are handled together: one wake-up of the thread takes more
# processor time than a report.
BATCH_INTERVAL_S: Final = 0.05
# Bounds the memory of a batch.
MAX_BATCH_DATAGRAMS: Final = 512
# Limit of UDP over IPv4.
MAX_DATAGRAM_BYTES: Final = 65_507


class ReportHandler(abc.ABC):
    """Builds the reports to send and processes those received.

    :ivar compresses_reports: whether all peers read compressed reports
    """

    compresses_reports = False

    @abc.abstractmethod
    def compose_report(self) -> tuple[reports.Report, Iterable[str], float]:
        """Return the next report, the hosts to send it to, and the seconds until the next round."""

    @abc.abstractmethod
    def compose_work_report(
        self, for_domain: bool = False
    ) -> tuple[reports.WorkReport, Iterable[str]]:
        """Return a report of the current work and the hosts to send it to.

        :param for_domain: whether it goes to the peers of the failure domain only
        """

    @abc.abstractmethod
    def handle_report(self, report: codec.AnyReport) -> None:
        """Process a report received from a peer."""


class UdpTransport:
    """Exchanges reports with peers on one UDP socket, with one thread for each direction."""

    def __init__(
        self, address: platform_options.Address, report_handler: ReportHandler, clock: clocks.Clock
    ) -> None:
        self._peer_port = address.port
        self._report_handler = report_handler
        self._clock = clock
        self._has_news = threading.Event()
        self._has_new_work = False
        self._has_source_change = False
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((address.host, address.port))
        self._threads = (
            threading.Thread(target=self._receive_reports, name="peer-listener", daemon=True),
            threading.Thread(target=self._send_reports, name="peer-reporter", daemon=True),
        )

    def start(self) -> None:
        """Start the threads that receive and send reports."""
        for thread in self._threads:
            thread.start()

    def announce_work(self) -> None:
        """Send a work report promptly, without waiting for the next round."""
        self._has_new_work = True
        self._has_news.set()

    def announce_source_change(self) -> None:
        """Tell the failure domain promptly that this instance has read a change of the source."""
        self._has_source_change = True
        self._has_news.set()

    def send_origins(self, report: reports.OriginReport, hosts: Iterable[str]) -> None:
        """Tell peers at once where streams began."""
        self._send(report, hosts)

    def send_round(self) -> float:
        """Send a round of reports and return the seconds until the next round."""
        report, hosts, interval_s = self._report_handler.compose_report()
        self._send(report, hosts)
        return interval_s

    def _send_news(self) -> None:
        # The flags are cleared first, so that what changes meanwhile is sent with the next report.
        has_new_work, self._has_new_work = self._has_new_work, False
        has_source_change, self._has_source_change = self._has_source_change, False
        if has_new_work:
            self._send(*self._report_handler.compose_work_report())
        if has_source_change:
            self._send(*self._report_handler.compose_work_report(for_domain=True))

    def _send(self, report: codec.AnyReport, hosts: Iterable[str]) -> None:
        content = codec.encode(report, self._report_handler.compresses_reports)
        for host in hosts:
            try:
                self._socket.sendto(content, (host, self._peer_port))
            except OSError as error:
                # A lost report does no harm: the next round sends the full state again.
                eliot.log_message(message_type="report_not_sent", host=host, detail=repr(error))

    def _receive_reports(self) -> None:
        while True:
            try:
                contents = self._receive_batch()
            except Exception:
                eliot.write_traceback()
                time.sleep(BATCH_INTERVAL_S)
                continue
            for content in contents:
                self._handle(content)

    def _receive_batch(self) -> list[bytes]:
        """Wait for a datagram and return it with those that arrive soon after it."""
        contents = [self._socket.recv(MAX_DATAGRAM_BYTES)]
        time.sleep(BATCH_INTERVAL_S)
        while len(contents) < MAX_BATCH_DATAGRAMS:
            try:
                contents.append(self._socket.recv(MAX_DATAGRAM_BYTES, socket.MSG_DONTWAIT))
            except BlockingIOError:
                break
        return contents

    def _handle(self, content: bytes) -> None:
        try:
            self._report_handler.handle_report(codec.decode(content))
        except codec.CodecError as error:
            eliot.log_message(message_type="report_malformed", detail=str(error))
        except Exception:
            eliot.write_traceback()

    def _send_reports(self) -> None:
        next_round_s = self._clock.now_s() + FIRST_ROUND_DELAY_S
        while True:
            try:
                wait_s = next_round_s - self._clock.now_s()
                if wait_s > 0.0 and self._has_news.wait(wait_s):
                    self._has_news.clear()
                    self._send_news()
                    time.sleep(MIN_WORK_REPORT_INTERVAL_S)
                else:
                    next_round_s = self._clock.now_s() + self.send_round()
            except Exception:
                eliot.write_traceback()
                next_round_s = self._clock.now_s() + FIRST_ROUND_DELAY_S
