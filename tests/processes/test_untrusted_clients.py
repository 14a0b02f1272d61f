"""Untrusted callers at gateway processes whose memory is limited.

Each test guards against a gateway that is killed, because it holds more than the memory
of its instance, or that no longer answers ordinary callers.
"""

import base64
from pathlib import Path

import pytest

from pomeloshift.errors import PomeloshiftError

from .crowd import Crowd, chunked, request
from .test_gateway_process import TOML, GatewayProcess, play_processes  # noqa: F401

MEMORY_MB = 128
DESCRIPTORS = 1024
LIMITS = f"[limits]\nmemoryMb = {MEMORY_MB}\nmaxFds = {DESCRIPTORS}\n"
MAX_BODY = 4 << 20
ATTEMPTS = 5
PAYLOAD = bytes(MAX_BODY - 1)
LENGTH = f"Content-Length: {MAX_BODY}\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"

pytestmark = pytest.mark.xdist_group("untrusted clients")


def peak_memory(process):
    """The most resident bytes so far and the bytes that the kernel holds unread."""
    status = Path(f"/proc/{process.process.pid}/status").read_text()
    (line,) = (line for line in status.splitlines() if line.startswith("VmHWM"))
    port = int(process.caller_address.rpartition(":")[2])
    unread = 0
    for row in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = row.split()
        if int(fields[1].rpartition(":")[2], 16) == port:
            unread += int(fields[4].partition(":")[2], 16)
    return int(line.split()[1]) * 1024, unread


def descriptors(process):
    return len(list(Path(f"/proc/{process.process.pid}/fd").iterdir()))


@pytest.fixture
def besiege(play_processes, monkeypatch):  # noqa: F811
    """Runs a crowd against one gateway and checks the gateway afterwards."""
    monkeypatch.setattr("processes.test_gateway_process.TOML", TOML + LIMITS)

    def besiege(payloads, prepare=None, **crowd_fields):
        async def scenario(deployment, add):
            deployment.add_engine()
            gateway = await add()
            if prepare is not None:
                await prepare(deployment, gateway)
            crowd = Crowd(gateway.caller_address, payloads, **crowd_fields)
            crowd.start()
            most, open_files = 0, 0
            try:
                while crowd.is_sending:
                    resident, unread = peak_memory(gateway)
                    most = max(most, resident + unread)
                    open_files = max(open_files, descriptors(gateway))
                    await deployment.pause(0.05)
                status = await ordinary_status(deployment, gateway)
                await deployment.until_ready(gateway)
                resident, unread = peak_memory(gateway)
                most = max(most, resident + unread)
                open_files = max(open_files, descriptors(gateway))
            finally:
                crowd.close()
            assert gateway.process.poll() is None
            return most, open_files, status

        most, open_files, status = play_processes(scenario)
        print(f"status {status}, {most / 2**20:.1f} MB, {open_files} descriptors")
        assert (status, most <= MEMORY_MB << 20, open_files <= DESCRIPTORS) == (
            200,
            True,
            True,
        ), f"status {status}, {most >> 20} MB, {open_files} descriptors"

    return besiege


async def ordinary_status(deployment, gateway):
    """The status of an ordinary request, which may be tried again when refused."""
    status = None
    for attempt in range(ATTEMPTS):
        try:
            resp = await deployment.call(
                gateway, "POST", "/once/a", b"x", f"ordinary{attempt}"
            )
        except PomeloshiftError as exc:
            status = exc.code.value
            continue
        status = resp.status
        if status == 200:
            break
        await deployment.pause(0.5)
    return status


def test_large_bodies_with_a_length(besiege):
    besiege([request("/once/a", LENGTH, PAYLOAD)] * 60)


def test_large_bodies_piece_by_piece(besiege):
    payload = request("/once/a", LENGTH, PAYLOAD)
    besiege([payload] * 60, piece=16384, gap_s=0.001)


def test_large_chunks(besiege):
    besiege([request("/once/a", CHUNKED, chunked(PAYLOAD, 65536))] * 60)


def test_one_byte_chunks(besiege):
    besiege([request("/once/a", CHUNKED, chunked(bytes(500_000), 1))] * 40)


def test_batch_submissions(besiege):
    """Some are complete: decoding them takes several times their size."""
    item = base64.b64encode(bytes(30_000)).decode()
    items = ",".join(
        f'{{"id":"i{n}","path":"/jobs/{n}","body":"{item}","tokens":10}}'
        for n in range(100)
    )
    body = f'{{"items":[{items}]}}'.encode()
    length = f"Content-Length: {len(body)}\r\n"
    whole = [
        request("/jobs/new", f"X-Request-Id: job{n}\r\n{length}", body)
        for n in range(20)
    ]
    besiege([request("/jobs/new", length, body[:-1])] * 60 + whole)


def test_batch_submissions_of_many_small_items(besiege):
    """Decoded, an item without a body takes ten times its size."""
    items = ",".join(f'{{"id":"{n:x}","path":"","body":""}}' for n in range(110_000))
    body = f'{{"items":[{items}]}}'.encode()
    assert len(body) <= MAX_BODY
    length = f"Content-Length: {len(body)}\r\n"
    besiege(
        [
            request("/jobs/new", f"X-Request-Id: job{n}\r\n{length}", body)
            for n in range(6)
        ]
    )


def test_callers_that_never_read_long_responses(besiege):
    async def prepare(deployment, gateway):
        accepted = await deployment.submit(gateway, "long", [bytes(400_000)])
        assert accepted.status == 202

    reads = request("/api/items/long?id=item0", "", method="GET") * 20
    besiege([reads] * 60, prepare)


def test_incomplete_headers(besiege):
    head = request("/once/a", "X-Filler: " + "a" * 16_000)[:-2]
    besiege([head] * 600)


def test_idle_connections(besiege):
    besiege([b""] * 600)


def test_single_largest_requests_are_served(play_processes, monkeypatch):  # noqa: F811
    """Guards against a budget that refuses what is within the limits."""
    monkeypatch.setattr("processes.test_gateway_process.TOML", TOML + LIMITS)

    async def scenario(deployment, add):
        engine = deployment.add_engine()
        gateway = await add()
        body = bytes(MAX_BODY)
        online = await deployment.call(gateway, "POST", "/once/a", body)
        batch = await deployment.submit(gateway, "job1", [bytes(3_100_000)])
        return online.status, batch.status, engine.requests[0].body == body

    assert play_processes(scenario) == (200, 202, True)
