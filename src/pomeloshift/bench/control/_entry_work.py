"""The control work of an entry."""

from random import Random
from typing import Any

import attrs

from ...batch import owner_of
from ...config import ConfigHolder, ConfigPublished, ConfigState, make_api_key
from ...entry._auth import Authenticator
from ...log import Record, RecordCodec
from ...metrics import Metrics
from ...model import Place, Priority
from ...net._control_signer import ControlSigner
from ...report import BurnRecorder, RequestSample
from ...routing import RouteQuery, Router, RouterConfig
from ...wire import (
    Acknowledgement,
    EntryReport,
    Frame,
    FrameReader,
    decode_message,
    encode_frame,
    encode_message,
)
from ._fixtures import make_configuration, make_document, make_instance, make_report
from ._workload import Outcome, Workload

ROLE = "entry"
KEY = b"0123456789abcdef"
PLACE = Place("region-1", "zone-1a")
ENTRIES = tuple(f"entry-{number}" for number in range(4))
CHOICES = 50
CHECKS = 50
SAMPLE = RequestSample("lm-a", "workspace-001", Priority.ONLINE, 0.3, 0.03)


def make_router() -> Router:
    """Returns a router without backend servers."""
    return Router(RouterConfig(name="entry-1"), PLACE, Random(1))


def handle_heartbeats(messages: list[bytes]) -> Outcome:
    """Verifies heartbeats, passes them to the router and signs the replies."""
    signer = ControlSigner(KEY)
    router = make_router()
    size = 0
    for message in messages:
        nonce, body = signer.verify_request(message)
        router.observe_report(decode_message(body), 1.0)
        reply = signer.sign_reply(nonce, encode_message(Acknowledgement(1, "entry-1")))
        size += len(message) + len(reply)
    return Outcome(router, size)


def choose_routes(router: Router) -> Outcome:
    """Chooses a backend server for several requests."""
    query = RouteQuery("lm-a", Priority.ONLINE, 400, 200, 30.0, prefix="p")
    for _ in range(CHOICES):
        router.choose(query, 1.0)
    return Outcome(None)


def read_instance_list(instances: list[Any]) -> Outcome:
    """Applies the instance list and chooses the backend servers to follow."""
    router = make_router()
    router.observe_instances(instances, 1.0)
    router.knows_service("lm-a")
    return Outcome(router)


def apply_configuration(document: bytes) -> Outcome:
    """Decodes and applies one configuration."""
    holder = ConfigHolder()
    holder.offer(1, document)
    return Outcome(holder, len(document))


def replay_changes(payloads: list[bytes]) -> Outcome:
    """Decodes and replays the records of published configurations."""
    codec = RecordCodec([ConfigPublished])
    state = ConfigState()
    for offset, payload in enumerate(payloads):
        state.apply(offset, codec.decode(payload))
    return Outcome(None, sum(map(len, payloads)))


def choose_owners(count: int) -> Outcome:
    """Chooses the owners of partitions among four entries."""
    for partition in range(count):
        owner_of(partition, ENTRIES)
    return Outcome(None)


def check_keys(auth: Authenticator) -> Outcome:
    """Authenticates with the last key of the configuration, several times."""
    for _ in range(CHECKS):
        auth.workspace_for("Bearer key-last.secret")
    return Outcome(None)


def record_requests(cfg_and_count: tuple[Any, int]) -> Outcome:
    """Records requests in the SLO accounting."""
    cfg, count = cfg_and_count
    recorder = BurnRecorder("entry-1")
    for _ in range(count):
        recorder.record(SAMPLE, cfg, 0.0)
    return Outcome(recorder)


def record_workspaces(samples: tuple[Any, list[RequestSample]]) -> Outcome:
    """Records one minute of SLO accounting of many workspaces."""
    cfg, requests = samples
    recorder = BurnRecorder("entry-1")
    for sample in requests:
        recorder.record(sample, cfg, 0.0)
    codec = RecordCodec([type(recorder.pending())])
    size = len(codec.encode(Record("r", recorder.pending())))
    return Outcome(recorder, size)


def count_metrics(count: int) -> Outcome:
    """Updates the metrics of requests and their latencies."""
    metrics = Metrics("entry")
    labels: Any = {"service": "lm-a", "class": "online"}
    for _ in range(count):
        metrics.inc("requests_total", outcome="ok", **labels)
        metrics.observe("first_token_seconds", 0.3, **labels)
        metrics.observe("between_tokens_seconds", 0.03, **labels)
    return Outcome(None)


def exchange_peer_heartbeats(count: int) -> Outcome:
    """Exchanges heartbeats with other entries."""
    signer = ControlSigner(KEY)
    size = 0
    for number in range(count):
        nonce = signer.make_nonce()
        body = encode_message(EntryReport(f"entry-{number}", 12_345))
        request = signer.sign_request(nonce, body)
        decode_message(signer.verify_request(request)[1])
        reply = signer.sign_reply(nonce, encode_message(Acknowledgement(1)))
        decode_message(signer.verify_reply(nonce, reply))
        size += len(request) + len(reply)
    return Outcome(None, size)


def pass_frames(data: list[bytes]) -> Outcome:
    """Decodes frames from a sidecar and extracts their payloads."""
    reader = FrameReader()
    size = 0
    for chunk in data:
        for frame in reader.feed(chunk):
            size += len(frame.payload)
    return Outcome(None, size)


def _heartbeats(count: int) -> list[bytes]:
    signer = ControlSigner(KEY)
    return [
        signer.sign_request(signer.make_nonce(), encode_message(make_report(number)))
        for number in range(count)
    ]


def _filled_router(count: int) -> Router:
    router = make_router()
    for number in range(count):
        router.observe_report(make_report(number), 1.0)
    return router


def _publications(count: int) -> list[bytes]:
    codec = RecordCodec([ConfigPublished])
    document = make_document(10, 10)
    return [
        codec.encode(Record(f"r{n}", ConfigPublished(n, document, "ana")))
        for n in range(count)
    ]


def _authenticator(count: int) -> Authenticator:
    cfg = make_configuration(count, 0)
    last = make_api_key("key-last", "workspace-000", "secret", salt="a" * 16)
    cfg = attrs.evolve(cfg, api_keys=(*cfg.api_keys, last))
    return Authenticator(lambda: cfg)


def _samples(count: int) -> tuple[Any, list[RequestSample]]:
    names = [f"workspace-{n:03d}" for n in range(count)]
    return make_configuration(1, 0), [RequestSample("lm-a", n) for n in names]


def _frames(count: int) -> list[bytes]:
    payload = b'data: {"choices":[{"index":0,"delta":{"content":" word"}}]}\n\n'
    return [encode_frame(Frame("entry-1-0", n, payload, 1)) for n in range(count)]


ENTRY_WORK = (
    Workload(ROLE, "heartbeat", "node", _heartbeats, handle_heartbeats),
    Workload(
        ROLE,
        "route choice",
        "node, for each request",
        _filled_router,
        choose_routes,
        sizes=(100, 500, 2300),
        repeats=CHOICES,
    ),
    Workload(
        ROLE,
        "live list",
        "node",
        lambda count: [make_instance(n) for n in range(count)],
        read_instance_list,
        sizes=(500, 2000, 5000),
    ),
    Workload(
        ROLE,
        "configuration",
        "workspace",
        lambda count: make_document(count, 10),
        apply_configuration,
        sizes=(50, 150, 250),
    ),
    Workload(
        ROLE,
        "configuration",
        "backend server",
        lambda count: make_document(10, count),
        apply_configuration,
        sizes=(500, 2000, 5000),
    ),
    Workload(ROLE, "configuration fold", "change", _publications, replay_changes),
    Workload(
        ROLE,
        "ownership",
        "partition",
        lambda count: count,
        choose_owners,
        sizes=(64, 512, 4096),
    ),
    Workload(
        ROLE,
        "key check",
        "key, for each request",
        _authenticator,
        check_keys,
        sizes=(10, 100, 250),
        repeats=CHECKS,
    ),
    Workload(
        ROLE,
        "objectives",
        "request",
        lambda count: (make_configuration(1, 0), count),
        record_requests,
    ),
    Workload(ROLE, "objectives", "workspace and minute", _samples, record_workspaces),
    Workload(ROLE, "metrics", "request", lambda count: count, count_metrics),
    Workload(
        ROLE, "entry heartbeat", "entry", lambda count: count, exchange_peer_heartbeats
    ),
    Workload(ROLE, "token path", "frame", _frames, pass_frames),
)
