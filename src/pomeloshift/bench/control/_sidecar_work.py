"""The control work of a sidecar."""

from typing import Any

from ...admission import (
    Admission,
    AdmissionConfig,
    StreamEnded,
    StreamOffered,
    TokensArrived,
)
from ...attempts import AttemptRegistry
from ...config import ConfigHolder, encode_configuration, reduce_for
from ...model import Priority
from ...net._control_signer import ControlSigner
from ...wire import (
    Acknowledgement,
    AttemptRequest,
    GrantedItem,
    ItemGrants,
    ItemOutcome,
    ItemResults,
    decode_message,
    encode_message,
)
from ._fixtures import BODY_BYTES, SERVICES, make_configuration, make_report
from ._workload import Outcome, Workload

ROLE = "sidecar"
KEY = b"0123456789abcdef"
FRAMES = 8


def exchange_heartbeats(reports: list[Any]) -> Outcome:
    """Signs heartbeats and verifies the replies."""
    signer = ControlSigner(KEY)
    size = 0
    for report in reports:
        nonce = signer.make_nonce()
        request = signer.sign_request(nonce, encode_message(report))
        reply = signer.sign_reply(nonce, encode_message(Acknowledgement(1, "entry-1")))
        decode_message(signer.verify_reply(nonce, reply))
        size += len(request) + len(reply)
    return Outcome(None, size)


def apply_reduced(documents: list[bytes]) -> Outcome:
    """Decodes and applies configurations that are reduced for one sidecar."""
    holder = ConfigHolder()
    for version, document in enumerate(documents, start=1):
        holder.offer(version, document)
    return Outcome(None, sum(map(len, documents)))


def run_attempts(requests: list[AttemptRequest]) -> Outcome:
    """Registers attempts, appends their frames, and finishes and expires them."""
    registry = AttemptRegistry()
    for req in requests:
        registry.open(req, 0.0)
        for _ in range(FRAMES):
            registry.append(req.attempt_id, b"x" * 64, 4)
        registry.finish(req.attempt_id)
    registry.expire(0.0)
    registry.expire(31.0)
    return Outcome(registry)


def admit(offers: list[StreamOffered]) -> Outcome:
    """Admits streams, handles their tokens and ends them."""
    admission = Admission(AdmissionConfig())
    now = 0.0
    for offer in offers:
        admission.handle(offer, now)
        for _ in range(FRAMES):
            now += 0.004
            admission.handle(TokensArrived(offer.stream_id, 4), now)
        admission.handle(StreamEnded(offer.stream_id), now)
    return Outcome(None)


def exchange_items(messages: list[bytes]) -> Outcome:
    """Decodes granted items and encodes their results; bodies are not counted."""
    size = 0
    for message in messages:
        (item,) = decode_message(message).items
        outcome = ItemOutcome(
            item.partition, item.job_id, item.index, item.lease_id, 200, item.body, 60
        )
        result = encode_message(ItemResults("backend-00001", 1, (outcome,)))
        size += len(message) + len(result) - 2 * BODY_BYTES
    return Outcome(None, size)


def _reduced_documents(count: int) -> list[bytes]:
    cfg = reduce_for(make_configuration(10, 10), SERVICES[0], "backend-00000")
    return [encode_configuration(cfg)] * count


def _attempts(count: int) -> list[AttemptRequest]:
    return [
        AttemptRequest(
            f"entry-1-{n:012x}",
            f"req-{n:012x}",
            "workspace-001",
            "lm-a",
            "POST",
            "/v1/chat/completions",
            b"",
            400,
            200,
            30.0,
        )
        for n in range(count)
    ]


def _offers(count: int) -> list[StreamOffered]:
    return [
        StreamOffered(f"stream-{n}", Priority.ONLINE, 400, 200, 1e9)
        for n in range(count)
    ]


def _grants(count: int) -> list[bytes]:
    return [
        encode_message(
            ItemGrants(
                (
                    GrantedItem(
                        n % 64,
                        "batch_000_0123456789abcdef",
                        n,
                        f"{n % 64}.entry-1-0123456789ab.{n}.0123456789abcdef.{n}",
                        30.0,
                        "lm-a",
                        "/v1/chat/completions",
                        b"x" * BODY_BYTES,
                        400,
                        200,
                        3600.0,
                    ),
                ),
                7,
            )
        )
        for n in range(count)
    ]


SIDECAR_WORK = (
    Workload(
        ROLE,
        "heartbeat",
        "heartbeat",
        lambda count: [make_report(n) for n in range(count)],
        exchange_heartbeats,
    ),
    Workload(ROLE, "configuration", "change", _reduced_documents, apply_reduced),
    Workload(ROLE, "attempt registry", "request", _attempts, run_attempts),
    Workload(ROLE, "admission", "stream", _offers, admit),
    Workload(ROLE, "batch items", "item", _grants, exchange_items),
)
