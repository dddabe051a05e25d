"""A response that breaks off inside its head or framing never passes for a whole one.

Regression: a server closed its connection inside the head of a response, after the stamp. The end of the
connection was taken for the end of the head, so the caller got a success with an empty body and a
Content-Length of 0.
"""

from __future__ import annotations

import base64
import json

import pytest

from carawaydoor.coordination import cluster_view
from carawaydoor.fleet import peer_http
from carawaydoor.interface import errors, upstream_call
from carawaydoor.operating import clocks, platform_options
from carawaydoor.platform import store_client
from carawaydoor.policy import entities, upstream_directory
from carawaydoor.publishing import platform_client
from carawaydoor.serving import connections, protocol_adapter, sockets
from tests.platform_side import router_harness, scripted_upstream
from tests.policy import builders

BODY = b"the whole body"
IDENTITY = (
    b"Carawaydoor-Server-Stamp: s\r\nCarawaydoor-Request-Id: "
    + scripted_upstream.REQUEST_ID
    + b"\r\n"
)
HEAD = b"HTTP/1.1 200 OK\r\n" + IDENTITY
LENGTH = b"Content-Length: %d\r\n\r\n" % len(BODY)
CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n5\r\nthe w\r\n9;x=y\r\nhole body\r\n0\r\n"

WHOLE_BY_NAME = {
    "length": HEAD + LENGTH + BODY,
    "no body": HEAD + b"Content-Length: 0\r\nServer-Limit: 12.5\r\n\r\n",
    "chunks": HEAD + CHUNKS + b"\r\n",
    "trailers": HEAD + CHUNKS + b"X-Sum: 1\r\nX-Other: 2\r\n\r\n",
    "interim": b"HTTP/1.1 100 Continue\r\nX-A: b\r\n\r\n" + HEAD + LENGTH + BODY,
    "early hints": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + HEAD + LENGTH + BODY,
    "line feeds": (HEAD + LENGTH + BODY).replace(b"\r\n", b"\n"),
    "failure": b"HTTP/1.1 503 Full\r\nCarawaydoor-Not-Run: 1\r\nRetry-After: 12\r\n"
    + IDENTITY
    + LENGTH
    + BODY,
}

MALFORMED_BY_NAME = {
    "line without a colon": HEAD + b"garbage\r\n" + LENGTH + BODY,
    "continuation line": HEAD + b"X-A: b\r\n c\r\n" + LENGTH + BODY,
    "carriage return in a value": HEAD + b"X-A: b\rX-B: c\r\n" + LENGTH + BODY,
    "null in a value": HEAD + b"X-A: \x00\r\n" + LENGTH + BODY,
    "carriage return in the reason": b"HTTP/1.1 200 O\rK\r\n" + IDENTITY + LENGTH + BODY,
    "space before a colon": HEAD + b"X-A : b\r\n" + LENGTH + BODY,
    "two lengths": HEAD + b"Content-Length: 3\r\n" + LENGTH + BODY,
    "length with letters": HEAD + b"Content-Length: 1x\r\n\r\n" + BODY,
    "negative length": HEAD + b"Content-Length: -1\r\n\r\n" + BODY,
    "unknown encoding": HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n" + BODY,
    "other protocol": b"HTTP/1.1 101 Switching\r\n" + IDENTITY + b"\r\n" + BODY,
    "chunk size with a sign": HEAD + b"Transfer-Encoding: chunked\r\n\r\n+5\r\nthe w\r\n0\r\n\r\n",
}


def fetch(port: int) -> tuple[int, bytes]:
    """Read a response as the connections to upstreams do."""
    upstream = builders.upstream("u", "bookings", address=f"127.0.0.1:{port}")
    connection = connections.ConnectionPool(clocks.SystemClock()).acquire(upstream)
    clock = clocks.SystemClock()
    wait_limit = sockets.CallerWaitLimit(clock, clock.now_s() + 5.0, lambda: False)
    headers = (("Host", "a"), ("Carawaydoor-Request-Id", "r"))
    try:
        response = connection.send(
            protocol_adapter.EncodedRequest("GET", "/x", headers, b"", "r"), wait_limit
        )
        return response.status, response.read()
    finally:
        connection.close()


@pytest.mark.parametrize("name", WHOLE_BY_NAME)
def test_response_cut_at_any_byte_is_an_error(name):
    """A cut can also turn a header value or a chunk size into another valid one."""
    whole = WHOLE_BY_NAME[name]
    body = b"" if name == "no body" else BODY
    with scripted_upstream.running(whole) as upstream:
        assert fetch(upstream.port)[1] == body
        for length in range(len(whole)):
            upstream.scripts = [whole[:length]]
            with pytest.raises(connections.ConnectionLostError):
                fetch(upstream.port)


def test_unframed_response_cut_inside_its_head_is_an_error():
    whole = HEAD + b"\r\n" + BODY
    with scripted_upstream.running(whole) as upstream:
        assert fetch(upstream.port) == (200, BODY)
        for length in range(len(whole) - len(BODY)):
            upstream.scripts = [whole[:length]]
            with pytest.raises(connections.ConnectionLostError):
                fetch(upstream.port)


@pytest.mark.parametrize("name", MALFORMED_BY_NAME)
def test_head_that_violates_http_is_an_error(name):
    """http.client took what follows such a line for the body, or ignored the length."""
    with (
        scripted_upstream.running(MALFORMED_BY_NAME[name]) as upstream,
        pytest.raises(connections.UpstreamConnectionError),
    ):
        fetch(upstream.port)


def read_peer(port: int) -> object:
    return peer_http.get("127.0.0.1", port, "/x", {}, 5.0)


def read_store(port: int) -> object:
    client = store_client.StoreClient(platform_options.Address("127.0.0.1", port))
    try:
        return client.read("servers/", 5.0)
    finally:
        client.close()


def fetch_by_own_interface(port: int) -> object:
    role, presence = cluster_view.Role.PLAIN, cluster_view.Presence.LIVE
    target = cluster_view.Upstream("u", "a", "127.0.0.1", port, role, "bookings", 6, 0.0, presence)
    return upstream_call.fetch(
        target, upstream_call.UpstreamRequest("r", "GET", "/x", {}, b""), 5.0
    )


def read_publisher(port: int) -> object:
    return platform_client.PlatformClient("127.0.0.1", port, clocks.SystemClock()).read_part("d")


ITEM = {"key": "servers/a", "value": base64.b64encode(b"{}").decode(), "revision": 3}
DOCUMENT = json.dumps({"items": [ITEM], "truncated": False, "at": 5}).encode()
ERRORS = (
    peer_http.PeerError,
    store_client.StoreError,
    errors.UpstreamError,
    platform_client.PlatformError,
)


@pytest.mark.parametrize(
    "read",
    [read_peer, read_store, fetch_by_own_interface, read_publisher],
    ids=lambda f: f.__name__,
)
def test_other_clients_get_a_whole_response_or_an_error(read):
    """A status or an era whose head was cut off passed for the other side's word."""
    head = b"HTTP/1.1 200 OK\r\nStore-Era: 12\r\nETag: 12\r\nContent-Type: application/json\r\n"
    length = b"Content-Length: %d\r\n\r\n" % len(DOCUMENT)
    with scripted_upstream.running(head + length + DOCUMENT) as upstream:
        whole = read(upstream.port)
        assert whole
        for end in range(len(head + length + DOCUMENT)):
            upstream.scripts = [(head + length + DOCUMENT)[:end]]
            with pytest.raises(ERRORS):
                read(upstream.port)


def add_scripted(
    harness: router_harness.RouterHarness,
    name: str,
    port: int,
    stage: entities.Stage = entities.Stage.NONE,
) -> None:
    service = "bookings" if stage is entities.Stage.NONE else "planner"
    entry = builders.upstream(name, service, stage, address=f"127.0.0.1:{port}", version="v1")
    harness.instance.update_directory(upstream_directory.Changes({name: entry}, 1))


CUTS_IN_HEAD = [len(HEAD), len(HEAD) - 10, len(HEAD + LENGTH) - 2, len(HEAD + LENGTH) - 5]


@pytest.mark.parametrize("end", CUTS_IN_HEAD)
def test_read_whose_response_breaks_off_inside_its_head_is_served_elsewhere(end):
    cut = (HEAD + LENGTH)[:end]
    with (
        router_harness.running() as harness,
        scripted_upstream.running(cut) as first,
        scripted_upstream.running(WHOLE_BY_NAME["length"]) as second,
    ):
        add_scripted(harness, "a", first.port)
        bodies = {harness.call("/safe/1").read().body}
        add_scripted(harness, "b", second.port)
        bodies |= {harness.call("/safe/1").read().body for _ in range(6)}
        assert BODY in bodies
        assert not any(body in BODY and body != BODY for body in bodies)
        assert harness.is_idle()


@pytest.mark.parametrize("end", CUTS_IN_HEAD)
def test_booking_whose_response_breaks_off_inside_its_head_gets_502(end):
    with (
        router_harness.running() as harness,
        scripted_upstream.running((HEAD + LENGTH)[:end]) as upstream,
    ):
        add_scripted(harness, "a", upstream.port)
        response = harness.call("/unsafe/1", method="POST", body=b"x").read()
        assert response.status == 502
        assert "retry-after" not in response.headers, "it may have run"
        assert harness.is_idle()


EVENTS = b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
STREAM_HEAD = HEAD + b"Content-Type: text/event-stream\r\n\r\n"


@pytest.mark.parametrize(
    "end",
    [
        len(HEAD) - len(b"est-id>\r\n"),
        len(HEAD),
        len(HEAD) + len(b"Content-Type: text/ev"),
        len(STREAM_HEAD) - 2,
    ],
)
def test_stream_whose_head_breaks_off_goes_on_elsewhere_or_is_refused(end):
    """A head cut inside the content type reached the caller as an empty success."""
    with (
        router_harness.running() as harness,
        scripted_upstream.running(STREAM_HEAD[:end]) as broken,
        scripted_upstream.running(STREAM_HEAD + EVENTS) as sound,
    ):
        add_scripted(harness, "d", broken.port, entities.Stage.DECODE)
        response = harness.stream("/stream/1").read()
        assert (response.status, response.is_truncated) == (502, False)
        add_scripted(harness, "e", sound.port, entities.Stage.DECODE)
        for _ in range(4):
            response = harness.stream("/resumable/1").read()
            assert response.status == 502 or response.body == EVENTS
        assert harness.is_idle()


def refuse_to_start(*_):
    raise ValueError("the HTTP server does not send such a head")


@pytest.mark.parametrize("path", ["/safe/1", "/resumable/1", "/unknown/1"])
def test_request_whose_response_can_not_be_started_holds_nothing(path):
    """The work counted at the engines leaked, so that all streams were refused after eight of these."""
    with router_harness.running() as harness:
        harness.add_upstream("a")
        harness.add_upstream("p", entities.Stage.PREFILL)
        harness.add_upstream("d", entities.Stage.DECODE)
        harness.add_upstream("e", entities.Stage.DECODE)
        for _ in range(12):
            with pytest.raises(ValueError, match="does not send"):
                harness.stream(path, start_response=refuse_to_start)
        assert harness.is_idle()
        assert harness.stream("/resumable/1").read().status == 200


@pytest.mark.parametrize("name", ["Trailers", "Trailer", "TE", "Upgrade", "Keep-Alive"])
def test_headers_for_one_connection_are_not_passed_on(name):
    """The HTTP server raises an error for these."""
    whole = HEAD + name.encode() + b": x\r\n" + LENGTH + BODY
    with router_harness.running() as harness, scripted_upstream.running(whole) as upstream:
        add_scripted(harness, "a", upstream.port)
        response = harness.call("/safe/1").read()
        assert (response.status, response.body) == (200, BODY)
        assert name.lower() not in response.headers
