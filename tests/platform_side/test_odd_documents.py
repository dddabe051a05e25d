"""Documents from outside that are out of range are rejected, and the others hold.

Regression: one odd entry among those of the servers made instances stop following the list; an odd
report or prefill answer of an engine raised errors that nothing expected.
"""

from __future__ import annotations

import base64
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carawaydoor.fleet import source_relay
from carawaydoor.operating import clocks, platform_options
from carawaydoor.platform import http_adapter, names, store_client, store_documents, store_source
from carawaydoor.serving import connections
from tests.platform_side import router_harness, stored_documents
from tests.policy import builders

SETTINGS = settings(derandomize=True, deadline=None, max_examples=200)
ENTRY = stored_documents.CASES["server"]
CONFIGURATION = stored_documents.CASES["configuration"]
REPORT = {"stage": "decode", "busy": False, "sequenceNumber": 3, "kvUsed": 7}
PREFILLED = {"handle": "h1", "tokens": 5, "version": 1}
NESTED = b"[" * 200_000
HUGE = 10**30
ODD_FIELDS = [
    {"address": "10.0.0.1:" + "9" * 5000},
    {"address": "10.0.0.1:70000"},
    {"address": "10.0.0.1:0"},
    {"address": "a..b:80"},
    {"address": "x" * 64 + ".example:80"},
    {"address": " :80"},
    {"slots": HUGE},
    {"born": HUGE},
    {"born": -1},
    {"service": "x" * 100_000},
    {"zone": "x" * 100_000},
    {"version": "x" * 100_000},
    {"sequenceNumber": HUGE},
]
ADAPTER = http_adapter.PlatformHttpAdapter()
# Values that a document may hold in the place of the expected ones.
ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.sampled_from([HUGE, -HUGE, 1e308, -1.0, "", "x" * 5000, [], {}, "9" * 5000]),
    st.text(max_size=20),
    st.lists(st.integers(), max_size=2),
)


def encoded(document, **changes):
    return json.dumps({**document, **changes}).encode()


@st.composite
def near(draw, document):
    """Return a document in which some fields have odd values or are missing."""
    changed = dict(document)
    for field in draw(st.sets(st.sampled_from(sorted(document)), max_size=3)):
        changed[field] = draw(ODD_VALUES)
        if draw(st.booleans()):
            del changed[field]
    return json.dumps(changed).encode()


@pytest.mark.parametrize("fields", ODD_FIELDS, ids=lambda each: f"{next(iter(each))}")
def test_entry_out_of_range_is_rejected(fields):
    with pytest.raises(store_documents.DocumentError):
        store_documents.decode_server("i-1", encoded(ENTRY, **fields))


def test_entry_that_is_deeply_nested_is_rejected():
    with pytest.raises(store_documents.DocumentError):
        store_documents.decode_server("i-1", NESTED)


@pytest.mark.parametrize("fields", ODD_FIELDS, ids=lambda each: f"{next(iter(each))}")
def test_other_entries_hold_beside_an_odd_one(store, fields):
    store.put(f"{names.SERVERS_PREFIX}i-3", {**ENTRY, **fields})
    source = store_source.StoreSource(platform_options.Address("127.0.0.1", store.port))
    update = source.read(1.0)
    assert update.upstream_by_id["i-3"] is None
    assert sum(each is not None for each in update.upstream_by_id.values()) == 6


@SETTINGS
@given(st.one_of(st.binary(max_size=200), near(ENTRY)))
def test_nothing_but_the_decoders_error_leaves_it_for_an_entry(content):
    try:
        upstream = store_documents.decode_server("i-1", content)
    except store_documents.DocumentError:
        return
    assert 0 < upstream.port < 65536
    assert 0 <= upstream.born_ms < 2**63
    assert 0 < upstream.slots < 2**31


@SETTINGS
@given(st.one_of(st.binary(max_size=200), near(CONFIGURATION)))
def test_nothing_but_the_decoders_error_leaves_it_for_a_configuration(content):
    try:
        configuration = store_documents.decode_configuration(content, 3)
    except store_documents.DocumentError:
        return
    assert 0 <= configuration.version < 2**63


@SETTINGS
@given(st.one_of(st.binary(max_size=200), near(REPORT), near(PREFILLED)))
def test_odd_answers_of_engines_are_none(content):
    report = ADAPTER.parse_report(content)
    assert report is None or (0 <= report.kv_used < 2**63 and 0 <= report.orders_accepted < 2**63)
    prefilled = ADAPTER.parse_prefill(builders.prefill("p"), content)
    assert prefilled is None or 0 <= prefilled.tokens < 2**63


@pytest.mark.parametrize("content", [NESTED, b'{"stage":"decode","kvUsed":1e400}'])
def test_odd_answer_of_an_engine_is_none(content):
    padded = content.replace(b'"kvUsed"', b'"busy":false,"sequenceNumber":1,"kvUsed"')
    assert ADAPTER.parse_report(padded) is None
    assert ADAPTER.parse_prefill(builders.prefill("p"), content) is None


@pytest.mark.parametrize("value", ["é", "AAA", 5, None, ["x"]])
@pytest.mark.parametrize("revision", [3, HUGE, -1, "3"])
def test_item_that_is_no_item_is_malformed(value, revision):
    response = store_client._StoreResponse(
        {"items": [{"key": "servers/i-1", "value": value, "revision": revision}]}, 0
    )
    with pytest.raises(store_client.StoreError):
        store_client._parse_items(response, "items")


@SETTINGS
@given(
    st.one_of(
        st.binary(max_size=200),
        near({"revision": 5, "proof_age_s": 1.0, "steady_s": 1.0, "items": [["k", "", 5]]}),
    )
)
def test_nothing_but_the_relays_error_leaves_it(content):
    try:
        relayed = source_relay.decode(content)
    except source_relay.RelayError:
        return
    assert relayed.changes.revision >= 0


def test_deeply_nested_relay_response_is_malformed():
    with pytest.raises(source_relay.RelayError):
        source_relay.decode(NESTED)


def test_relayed_items_are_base64():
    content = base64.b64encode(b"x").decode()
    document = {"revision": 5, "proof_age_s": 0.5, "steady_s": 1.0, "items": [["k", content, 5]]}
    assert source_relay.decode(json.dumps(document).encode()).changes.items[0].value == b"x"


@pytest.mark.parametrize("host", ["a..b", "x" * 64 + ".example"])
def test_host_that_is_no_name_can_not_be_connected_to(host):
    pool = connections.ConnectionPool(clocks.SystemClock())
    upstream = builders.upstream("a", address=f"{host}:80")
    with pytest.raises(connections.NotSentError):
        pool.acquire(upstream)


@pytest.mark.parametrize(
    "headers",
    [
        {names.Header.TOKENS: "9" * 400 + ",5"},
        {names.Header.TOKENS: "9" * 5000 + ",5"},
    ],
)
def test_request_with_odd_token_counts_is_malformed(headers):
    with router_harness.running() as harness:
        harness.add_upstream("a")
        assert harness.call("/safe/x", headers=headers).read().status == 400


def test_odd_keep_alive_timeout_does_not_fail_a_response():
    with router_harness.running() as harness:
        upstream = harness.add_upstream("a")
        upstream.notice_headers = {"Keep-Alive": "timeout=" + "9" * 5000}
        assert harness.call("/safe/x").read().status == 200
