"""The soak's proxy goes on accepting connections whatever happens to one of them."""

from __future__ import annotations

import socket
import threading

import pytest

from tests.platform_side import fake_upstream
from tools.soak import fault_proxy

REQUEST = b"GET /carawaydoor/report HTTP/1.1\r\nHost: a\r\n\r\n"


def answer_through(proxy: fault_proxy.FaultProxy) -> bytes:
    with socket.create_connection(("127.0.0.1", proxy.port), timeout=5.0) as connection:
        connection.sendall(REQUEST)
        return connection.recv(65_536)


def test_connection_without_a_thread_does_not_end_the_proxy(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With no thread to be had the proxy of the store ended, and the store stayed out of reach."""
    upstream = fake_upstream.FakeUpstream()
    proxy = fault_proxy.FaultProxy(("127.0.0.1", upstream.port))
    assert answer_through(proxy).startswith(b"HTTP/1.1 200")
    start = threading.Thread.start

    def fail(thread: threading.Thread) -> None:
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(threading.Thread, "start", fail)
    with pytest.raises(ConnectionResetError):
        answer_through(proxy)
    monkeypatch.setattr(threading.Thread, "start", start)
    assert answer_through(proxy).startswith(b"HTTP/1.1 200")
    proxy.close()
    upstream.stop()
