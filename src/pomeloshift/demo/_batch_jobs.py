"""Sends the demo's batch jobs and checks their results."""

from typing import Any

import attrs
import msgspec
from twisted.internet.task import deferLater

from ..errors import PomeloshiftError
from ..standins.engine import expected_answer
from ._client import DemoClient
from ._plan import MODEL

POLL_S = 0.25
FINAL_STATUSES = ("completed", "failed", "expired", "cancelled")


@attrs.define
class BatchTotals:
    """The outcomes of a job's items.

    ``lost`` items have no result, ``duplicates`` counts further results of an item,
    and ``wrong`` counts completed items with another text than expected.
    """

    items: int = 0
    completed: int = 0
    failed: int = 0
    duplicates: int = 0
    lost: int = 0
    wrong: int = 0


class BatchCaller:
    """Uploads files and runs jobs through the OpenAI batch API."""

    def __init__(self, client: DemoClient, reactor: Any, url: str, key: str) -> None:
        self._client = client
        self._reactor = reactor
        self._url = url
        self._key = key

    async def upload(self, lines: bytes) -> str:
        """Uploads a file of items and returns its id."""
        files = {"file": ("items.jsonl", "application/jsonl", lines)}
        return (await self._call("POST", "/v1/files", {"purpose": "batch"}, files))[
            "id"
        ]

    async def create(self, file_id: str, key: str) -> str:
        """Creates a job under an idempotency key and returns its id."""
        fields = {
            "input_file_id": file_id,
            "endpoint": "/v1/chat/completions",
            "completion_window": "24h",
        }
        headers = {"idempotency-key": key}
        return (await self._call("POST", "/v1/batches", fields, headers=headers))["id"]

    async def cancel(self, job_id: str) -> None:
        """Cancels a job."""
        await self._call("POST", f"/v1/batches/{job_id}/cancel")

    async def state(self, job_id: str) -> dict[str, Any]:
        """Returns a job's batch object of the API."""
        return await self._call("GET", f"/v1/batches/{job_id}")

    async def wait(self, job_id: str, limit_s: float) -> dict[str, Any]:
        """Returns the job once it has ended, or its state after ``limit_s`` seconds."""
        waited_s = 0.0
        job = await self.state(job_id)
        while job["status"] not in FINAL_STATUSES and waited_s < limit_s:
            await deferLater(self._reactor, POLL_S)
            waited_s += POLL_S
            job = await self.state(job_id)
        return job

    async def results(self, job: dict[str, Any]) -> list[dict[str, Any]]:
        """Returns the lines of a job's output and error files."""
        lines: list[dict[str, Any]] = []
        for name in ("output_file_id", "error_file_id"):
            if job.get(name):
                path = f"/v1/files/{job[name]}/content"
                status, body = await self._client.request(
                    "GET", self._url + path, self._key
                )
                lines += [msgspec.json.decode(line) for line in body.splitlines()]
        return lines

    async def _call(
        self,
        method: str,
        path: str,
        fields: Any = None,
        files: Any = None,
        headers: dict[str, str] | None = None,
    ) -> dict[str, Any]:
        status, body = await self._client.request(
            method, self._url + path, self._key, fields, files, headers
        )
        response = msgspec.json.decode(body)
        if status != 200:
            raise DemoCallError(f"{method} {path} returned {status}: {response}")
        return response


class DemoCallError(PomeloshiftError):
    """The API returned another status than 200 to the demo's batch caller."""


def make_items(count: int, job: str) -> tuple[bytes, dict[str, str]]:
    """Returns a JSON Lines file of items and the expected text by ``custom_id``."""
    lines = []
    expected = {}
    for number in range(count):
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": f"{job} schedule {number}"}],
            "max_tokens": 24,
        }
        custom_id = f"{job}-{number}"
        line = {
            "custom_id": custom_id,
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": body,
        }
        lines.append(msgspec.json.encode(line))
        expected[custom_id] = expected_answer(body)
    return b"\n".join(lines) + b"\n", expected


def count_outcomes(
    results: list[dict[str, Any]], expected: dict[str, str]
) -> BatchTotals:
    """Compares the results of a job with the expected texts and counts outcomes."""
    totals = BatchTotals(items=len(expected))
    seen: set[str] = set()
    for line in results:
        custom_id = line["custom_id"]
        if custom_id in seen:
            totals.duplicates += 1
            continue
        seen.add(custom_id)
        if line.get("error") or line["response"]["status_code"] != 200:
            totals.failed += 1
            continue
        totals.completed += 1
        choice = line["response"]["body"]["choices"][0]
        if choice["message"]["content"] != expected.get(custom_id):
            totals.wrong += 1
    totals.lost = len(set(expected) - seen)
    return totals
