import msgspec
import pytest

from _gateway import Deployment, config, route, settings_table
from pomeloshift.dispatch import (
    EngineLoad,
    EngineReport,
    RouteKind,
    SoftwareVersion,
    Workspace,
)
from pomeloshift.http1 import Client, Headers, RequestHead, Response, ResponseHead
from pomeloshift.net import SystemClock
from pomeloshift.platform import (
    HistoryLostError,
    ItemRead,
    JobEnd,
    JobRead,
    MalformedError,
    SequenceError,
    StoreClient,
    StoreNoResponseError,
    StoreRejectedError,
    StoreUnreachableError,
    decode_config,
    decode_engine,
    decode_items,
    decode_load_header,
    decode_report,
    is_stamped,
    item_request,
    load_platform_settings,
    parse_platform_settings,
    proves_not_run,
    read_batch_call,
    read_caller_request,
    to_engine,
)
from pomeloshift.settings import SettingsError

ENGINE = {
    "service": "lm",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1.2",
    "slots": 8,
    "state": "serving",
    "born": 1780000000000,
}


# Settings

# JSON that is nested more deeply than a decoder follows it.
NESTED = b'{"a":' + b"[" * 100_000


def test_settings_are_read_and_unknown_keys_ignored():
    settings = parse_platform_settings(settings_table("10.0.0.9:80", port=7000))
    assert settings.caller_address == "127.0.0.1:7001"
    assert settings.internal_ports == (7000, 7000)
    assert settings.store.call_bytes == 65536
    assert settings.grace_s == 8


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("ip", None),
        ("listen.front", "nowhere"),
        ("listen.ready", 7),
        ("platform.address", None),
        ("platform.recordBytes", "many"),
        ("internalPorts", [1]),
        ("bounds.graceS", True),
    ],
)
def test_fault_of_the_settings_names_the_key(path, value):
    table = settings_table("10.0.0.9:80", port=7000)
    *parents, key = path.split(".")
    section = table
    for parent in parents:
        section = section[parent]
    if value is None:
        del section[key]
    else:
        section[key] = value
    with pytest.raises(SettingsError) as info:
        parse_platform_settings(table)
    assert [fault.path for fault in info.value.faults] == [path]


def test_learned_placement_is_off_unless_the_settings_switch_it_on():
    table = settings_table("10.0.0.9:80", port=7000)
    assert not parse_platform_settings(table).is_placement_learned
    on = parse_platform_settings({**table, "placement": {"learned": True}})
    assert on.is_placement_learned


def test_settings_file_is_named_by_the_environment(tmp_path, monkeypatch):
    path = tmp_path / "settings.toml"
    path.write_text("nodeName = ")
    monkeypatch.setenv("POMELOSHIFT_CONFIG", str(path))
    with pytest.raises(SettingsError, match="is not TOML"):
        load_platform_settings()
    monkeypatch.delenv("POMELOSHIFT_CONFIG")
    with pytest.raises(SettingsError, match="POMELOSHIFT_CONFIG is not set"):
        load_platform_settings()


# Configuration and engines


def test_configuration_is_decoded_with_converted_units():
    split = [{"service": "x", "weight": 9}, {"service": "y", "weight": 0}]
    rows = [route("resumable", trafficSplit=split, gapAimMs=250), route("jobs")]
    stream, batch = decode_config(config(7, rows)).routes
    assert stream.kind is RouteKind.STREAMING
    assert stream.is_resumable
    assert [(s.service, s.weight) for s in stream.splits] == [("x", 9), ("y", 0)]
    assert (stream.timeout_s, stream.objective_s, stream.event_gap_s) == (8, 2, 0.25)
    assert (batch.job_deadline_s, batch.item_retention_s) == (18, 120)
    assert batch.queue_token_cap == 100_000


@pytest.mark.parametrize(
    "value", [b"", b"[]", b'{"version":1}', config(1, [route("a", kind="new")])]
)
def test_unreadable_configuration_is_malformed(value):
    with pytest.raises(MalformedError):
        decode_config(value)


def test_engine_record_is_decoded():
    record = decode_engine("i-1", msgspec.json.encode({**ENGINE, "state": "draining"}))
    assert record.is_draining
    assert record.incarnation == 1780000000000
    assert record.software == SoftwareVersion("lm", "v1.2")


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"slots": "8"},
        {"address": "nowhere"},
        {"service": None},
        {"version": None},
        {"version": 1},
        {"born": 1.5},
        {"address": "10.0.0.1:\u00b2"},
        {"address": "10.0.0.1:" + "1" * 5000},
    ],
)
def test_invalid_engine_record_is_malformed(change):
    with pytest.raises(MalformedError):
        decode_engine("i-1", msgspec.json.encode({**ENGINE, **change}))
    with pytest.raises(MalformedError):
        decode_engine("i-1", b"\xff\x00")
    with pytest.raises(MalformedError):
        decode_engine("i-1", NESTED)


@pytest.mark.parametrize("value", [b"\xb2,1,1", b"1" * 5000 + b",1,1", b"-1,1,1"])
def test_load_header_without_counts_is_ignored(value):
    assert decode_load_header(Headers([(b"X-Server-Load", value)])) is None


@pytest.mark.parametrize("value", [b"\xff", b"[]", NESTED])
def test_garbled_report_is_malformed(value):
    with pytest.raises(MalformedError):
        decode_report(value, 8)


def test_load_is_read_from_reports_and_response_headers():
    report = b'{"waiting":2,"running":8,"busy":false,"born":1780000000000}'
    load = EngineLoad(8, 2, 8)
    assert decode_report(report, 8) == EngineReport(load, 1780000000000)
    assert decode_load_header(Headers([(b"X-Server-Load", b"3, 0,8")])) == EngineLoad(
        3, 0, 8
    )
    assert decode_load_header(Headers([(b"X-Server-Load", b"many")])) is None
    assert decode_load_header(Headers([])) is None


# Requests


def request(target, method=b"GET", **fields):
    headers = [(k.replace("_", "-").encode(), v.encode()) for k, v in fields.items()]
    return RequestHead(method, target, Headers(headers))


@pytest.mark.parametrize(
    ("method", "target", "call"),
    [
        (b"GET", b"/api/lots/j1?after=12", JobRead("j1", 12)),
        (b"GET", b"/api/lots/j1", JobRead("j1", 0)),
        (b"DELETE", b"/api/lots/j1", JobEnd("j1")),
        (b"GET", b"/api/items/j1?id=i1", ItemRead("j1", "i1")),
        (b"POST", b"/api/lots/j1", None),
        (b"GET", b"/other/j1", None),
    ],
)
def test_batch_calls_are_recognised_by_method_and_path(method, target, call):
    assert read_batch_call(read_caller_request(request(target, method))) == call


@pytest.mark.parametrize(
    ("value", "parts"),
    [
        ("", ()),
        ("e4402b7d:250", ()),
        ("5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        (" 5C1E07A2:800 , 5c1e07a2:8,e4402b7d:250", ("5c1e07a2",)),
        ("5c1e07a2,,:9,e4402b7d", ("5c1e07a2",)),
    ],
)
def test_parts_of_a_prompt_that_others_may_share_are_all_but_the_last(value, parts):
    head = request(b"/a/1", b"POST", X_Prompt_Prefix=value)
    assert read_caller_request(head).parts == parts


@pytest.mark.parametrize(
    ("headers", "resumes"),
    [
        ({}, None),
        ({"Resumes": "9c41"}, "9c41"),
        ({"Resumes": "9c41", "Last_Event_Id": "7"}, "9c41"),
        ({"Last_Event_Id": "7"}, ""),
    ],
)
def test_request_that_takes_up_a_stream_names_the_one_that_began_it(headers, resumes):
    head = request(b"/a/1", b"POST", **headers)
    assert read_caller_request(head).resumes == resumes


@pytest.mark.parametrize(
    ("value", "last"), [("7", 7), ("0", 0), ("-1", None), ("x", None), ("", None)]
)
def test_last_event_of_a_stream_that_is_taken_up_is_a_count(value, last):
    head = request(b"/a/1", b"POST", Last_Event_Id=value)
    assert read_caller_request(head).last_event_id == last


def test_parts_of_a_prompt_are_bounded_in_number_and_length():
    ids = [f"{number:x}" for number in range(1000)]
    head = request(b"/a/1", X_Prompt_Prefix=",".join([10000 * "f", "not hex", *ids]))
    parts = read_caller_request(head).parts
    assert len(parts) == 32
    assert {len(part) for part in parts[:2]} == {32}


def test_request_to_an_engine_has_the_remaining_time_and_its_name():
    head = request(
        b"/a/1?x=1",
        b"POST",
        Host="h",
        X_Request_Id="r1",
        X_Deadline_Ms="5000",
        X_Expect_Instance="i-spoofed",
        Last_Event_Id="4",
        Connection="close",
    )
    sent = to_engine(head, "i-1", deadline_s=1.25, last_event_id=9).headers
    assert dict(sent.fields) == {
        b"Host": b"h",
        b"X-Request-Id": b"r1",
        b"X-Deadline-Ms": b"1250",
        b"X-Expect-Instance": b"i-1",
        b"Last-Event-Id": b"9",
    }
    first = to_engine(head, "i-1", deadline_s=1.25).headers
    assert first.get(b"last-event-id") == b"4"


def test_only_an_engines_stamp_and_statuses_are_trusted():
    stamp = (b"X-Response-Stamp", b"s")
    assert is_stamped(ResponseHead(200, Headers([stamp])))
    assert not is_stamped(ResponseHead(200, Headers([])))
    encoded = Headers([stamp, (b"Content-Encoding", b"gzip")])
    assert not is_stamped(ResponseHead(200, encoded))
    assert proves_not_run(ResponseHead(421, Headers([])))
    assert proves_not_run(ResponseHead(503, Headers([(b"X-Not-Executed", b"1")])))
    assert not proves_not_run(ResponseHead(503, Headers([])))


@pytest.mark.parametrize("body", [b"", b"{}", b'{"items":[{"id":"a"}]}', b"[]"])
def test_malformed_job_is_rejected(body):
    with pytest.raises(MalformedError):
        decode_items(body)


# Store


@pytest.fixture
def store(reactor, run_async):
    """A deployment's store and a client of it."""
    deployment = Deployment(reactor)
    settings = parse_platform_settings(settings_table(deployment.store_address, port=1))
    client = Client(deployment.pool, deployment.clock)
    yield deployment.store, StoreClient(settings.store, client, deployment.clock)
    run_async(deployment.stop())


class GarblingClient:
    """Responds to each call with the same status and body."""

    def __init__(self, status, body):
        self._response = Response(status, Headers([]), body)

    async def call(self, *args, **options):
        return self._response


@pytest.mark.parametrize(
    ("status", "body"),
    [(200, b"{}"), (200, b"[]"), (200, b'{"offset":"a"}'), (200, NESTED), (409, b"[]")],
)
def test_garbled_response_to_an_append_leaves_its_outcome_unknown(
    run_async, status, body
):
    store = garbling_store(status, body)
    with pytest.raises(StoreNoResponseError):
        run_async(store.append("keyed.t", 0, [("a", b"1")], "p", 0))


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (200, b"\0" * 15),
        (200, b"\0" * 18),
        (200, b"\0" * 16 + b"\0\0\0\x09a"),
        (410, b"{}"),
        (410, b"[]"),
    ],
)
def test_garbled_response_to_a_read_is_malformed(run_async, status, body):
    with pytest.raises(MalformedError):
        run_async(garbling_store(status, body).read("keyed.t", 0, 0, wait_s=0.0))


@pytest.mark.parametrize(
    "body", [b"{}", NESTED, b'{"items":[{"key":"k","value":"a","offset":0}],"end":1}']
)
def test_garbled_response_to_a_read_of_keys_is_malformed(run_async, body):
    with pytest.raises(MalformedError):
        run_async(garbling_store(200, body).newest("keyed.t", 0))


def garbling_store(status, body):
    settings = parse_platform_settings(settings_table("127.0.0.1:1", port=1))
    client = GarblingClient(status, body)
    return StoreClient(settings.store, client, SystemClock())


def test_records_are_read_from_an_offset_on(store, run_async):
    _, client = store

    async def scenario():
        first = await client.append("keyed.t", 0, [("a", b"1"), ("b", b"2")], "p", 0)
        second = await client.append("keyed.t", 0, [("a", None)], "p", 1)
        page = await client.read("keyed.t", 0, 1, wait_s=0.0)
        beyond = await client.read("keyed.t", 0, 3, wait_s=0.0)
        newest = await client.newest("keyed.t", 0)
        return first, second, page, beyond, newest

    first, second, page, beyond, newest = run_async(scenario())
    assert (first, second) == (0, 2)
    assert [(r.offset, r.key, r.value) for r in page.records] == [
        (1, "b", b"2"),
        (2, "a", None),
    ]
    assert (page.end, page.next_offset, beyond.records) == (3, 3, [])
    assert [(r.key, r.value) for r in newest.records] == [("b", b"2")]


def test_repeated_append_is_applied_once(store, run_async):
    server, client = store

    async def scenario():
        server.responses_to_drop = 1
        with pytest.raises(StoreNoResponseError):
            await client.append("keyed.t", 0, [("a", b"1")], "p", 0)
        offset = await client.append("keyed.t", 0, [("a", b"1")], "p", 0)
        with pytest.raises(SequenceError) as info:
            await client.append("keyed.t", 0, [("a", b"1")], "p", 5)
        return offset, info.value.expected

    assert run_async(scenario()) == (0, 1)
    assert len(server.state.partition("keyed.t", 0).records) == 1


def test_append_without_records_under_a_higher_epoch_fences_earlier_calls(
    store, run_async
):
    server, client = store

    async def scenario():
        await client.append("keyed.t", 0, [("a", b"1")], "p", 0)
        await client.append("keyed.t", 0, [], "p", 7, epoch=2)
        with pytest.raises(SequenceError) as info:
            await client.append("keyed.t", 0, [("b", b"2")], "p", 1)
        offset = await client.append("keyed.t", 0, [("c", b"3")], "p", 8, epoch=2)
        return info.value.expected, offset

    assert run_async(scenario()) == (None, 1)
    assert len(server.state.partition("keyed.t", 0).records) == 2


def test_failures_of_the_store_raise_different_errors(store, run_async):
    server, client = store

    async def scenario():
        await client.append("keyed.t", 0, [("a", b"1")], "p", 0)
        server.state.partition("keyed.t", 0).compact()
        with pytest.raises(HistoryLostError) as info:
            await client.read("keyed.t", 0, 0, wait_s=0.0)
        server.is_busy = True
        with pytest.raises(StoreRejectedError):
            await client.newest("keyed.t", 0)
        await server.stop()
        client._client._pool.stop()
        with pytest.raises(StoreUnreachableError):
            await client.newest("keyed.t", 0)
        return info.value.first

    assert run_async(scenario()) == 1


def test_workspaces_and_their_keys_are_read():
    document = {
        "version": 3,
        "routes": [{**ROUTE_WITHOUT_KEYS, "anonymous": True}],
        "services": [{"name": "lm", "engine": {"kvCapacity": 72000}}],
        "tenants": [
            {"name": "a", "apiKeys": ["k1", "k2"], "ratePerS": 6, "burst": 9},
            {"name": "b", "apiKeys": ["k3"], "priority": 1},
        ],
    }
    config = decode_config(msgspec.json.encode(document))
    assert config.has_workspaces
    assert config.workspace_of_key("k2") == Workspace(
        "a", frozenset({"k1", "k2"}), None, 6.0, 9.0
    )
    assert config.workspace_of_key("k3").priority == 1
    assert config.workspace_of_key("k4") is None
    assert config.routes[0].is_anonymous
    assert config.services[0].engine_tokens == 72000
    # A key in a log line could be used by whoever reads the log.
    assert "k1" not in repr(config)


@pytest.mark.parametrize("field", ["ratePerS", "burst"])
def test_workspace_with_a_number_out_of_range_is_rejected_without_its_keys(field):
    tenant = {"name": "a", "apiKeys": ["secret-key"], field: -1}
    document = {"version": 3, "routes": [], "tenants": [tenant]}
    with pytest.raises(MalformedError) as caught:
        decode_config(msgspec.json.encode(document))
    assert "secret-key" not in str(caught.value)


ROUTE_WITHOUT_KEYS = {
    "name": "r",
    "host": "app.example",
    "pathPrefix": "/a/",
    "kind": "streaming",
    "service": "lm",
}


@pytest.mark.parametrize(
    ("value", "slowdown"),
    [("3,0,8,250", 2.5), ("3,0,8", None), ("3,0,8,x", None), ("3,0,8,0", None)],
)
def test_odd_slowdown_costs_only_itself(value, slowdown):
    headers = Headers([(b"X-Server-Load", value.encode())])
    assert decode_load_header(headers) == EngineLoad(3, 0, 8, slowdown)


def test_engine_gets_the_workspace_that_the_gateway_names_and_no_key():
    fields = [
        (b"Authorization", b"Bearer k1"),
        (b"X-Tenant", b"forged"),
        (b"X-A", b"1"),
    ]
    head = RequestHead(b"POST", b"/a/", Headers(fields))
    sent = to_engine(head, "i-1", 1.0, workspace="a").headers
    assert sent.get(b"authorization") is None
    assert [value for key, value in sent if key == b"X-Tenant"] == [b"a"]
    assert sent.get(b"x-a") == b"1"
    anonymous = to_engine(head, "i-1", 1.0, workspace="").headers
    assert anonymous.get(b"x-tenant") is None
    item_fields = (("authorization", "Bearer k1"), ("x-tenant", "forged"))
    item = item_request("h", "/a/", "id", item_fields, "i-1", None, "a").headers
    assert item.get(b"authorization") is None
    assert [value for key, value in item if key.lower() == b"x-tenant"] == [b"a"]


def test_headers_pass_on_where_callers_have_no_workspaces():
    head = RequestHead(b"POST", b"/a/", Headers([(b"Authorization", b"Bearer k1")]))
    sent = to_engine(head, "i-1", 1.0).headers
    assert sent.get(b"authorization") == b"Bearer k1"


def test_key_and_tokens_of_a_request_are_read():
    fields = [(b"authorization", b"bearer k1"), (b"x-token-count", b"450, 24")]
    req = read_caller_request(RequestHead(b"GET", b"/a/", Headers(fields)))
    assert (req.api_key, req.tokens) == ("k1", 474)
    assert "k1" not in repr(req)
