"""A simulated caller that submits batch jobs and reads their results."""

from typing import Any

import msgspec

from ...standins.engine import expected_answer
from ._callers import TRANSPORT_ERRORS, HttpCaller
from ._engine import MODEL
from ._history import JobRecord
from ._world import World

COMPLETIONS = "/v1/completions"
CHAT = "/v1/chat/completions"
POLL_S = 0.5
RETRY_PAUSE_S = 0.5
MAX_ATTEMPTS = 40
MAX_READS = 20
TERMINAL_STATUSES = ("completed", "cancelled")
LINE_TOKENS = 12
BOUNDARY = "boundary-of-the-form"
FORM_TYPE = f"multipart/form-data; boundary={BOUNDARY}"


class JobCaller:
    """Uploads, submits, polls, cancels and reads jobs, with retries.

    Requests go to ``entries`` in turn. A request without a successful response is
    retried at the next entry.
    """

    def __init__(self, world: World, entries: list[str]) -> None:
        self._world = world
        self._entries = entries
        self._requests_sent = 0
        self._http = HttpCaller(world.caller)

    def submit(
        self, key: str, markers: tuple[str, ...], *, is_idempotent: bool = True
    ) -> JobRecord:
        """Starts to submit a job, poll it until it is finished and read its results."""
        endpoint = COMPLETIONS if is_idempotent else CHAT
        bodies = {marker: _body(marker, endpoint) for marker in markers}
        expected = {marker: expected_answer(body) for marker, body in bodies.items()}
        poison_markers = frozenset(m for m in markers if m.startswith("poison"))
        job = JobRecord(
            key,
            markers,
            expected,
            poison_markers=poison_markers,
            is_idempotent=is_idempotent,
        )
        self._world.history.jobs.append(job)
        self._world.spawn(self._run(job, _lines(bodies, endpoint), endpoint))
        return job

    def submit_again(self, job: JobRecord) -> None:
        """Submits a job again with the same idempotency key."""
        endpoint = COMPLETIONS if job.is_idempotent else CHAT
        bodies = {marker: _body(marker, endpoint) for marker in job.markers}
        lines = _lines(bodies, endpoint)
        self._world.spawn(self._submit(job, lines, endpoint))

    def read_again(self, job: JobRecord) -> None:
        """Reads the results of a job again and discards those read before."""
        if job.job_ids:
            job.is_finished = False
            job.results, job.failures = {}, {}
            self._world.spawn(self._read_to_end(job))

    async def _read_to_end(self, job: JobRecord) -> None:
        await self._read_all(job, job.job_ids[0])
        job.is_finished = True

    def cancel(self, job: JobRecord) -> None:
        """Starts to cancel an accepted job."""
        self._world.spawn(self._cancel(job))

    async def _run(self, job: JobRecord, lines: bytes, endpoint: str) -> None:
        job_id = await self._submit(job, lines, endpoint)
        if job_id is None:
            job.is_refused = True
        else:
            await self._poll_until_finished(job, job_id)
            await self._read_all(job, job_id)
        job.is_finished = True

    async def _submit(self, job: JobRecord, lines: bytes, endpoint: str) -> str | None:
        file_id = await self._upload(job.key, lines)
        if file_id is None:
            return None
        fields = {
            "input_file_id": file_id,
            "endpoint": endpoint,
            "completion_window": "24h",
        }
        body = msgspec.json.encode(fields)
        headers = {
            "content-type": "application/json",
            "idempotency-key": job.key,
        }
        content = await self._request_until_ok("POST", "/v1/batches", body, headers)
        if content is None:
            return None
        job.job_ids.append(content["id"])
        return content["id"]

    async def _upload(self, key: str, lines: bytes) -> str | None:
        for _ in range(MAX_ATTEMPTS):
            form, headers = _form(key, lines), {"content-type": FORM_TYPE}
            status, body = await self._request_once("POST", "/v1/files", form, headers)
            if status == 200:
                return msgspec.json.decode(body)["id"]
            await self._http.sleep(RETRY_PAUSE_S)
        return None

    async def _poll_until_finished(self, job: JobRecord, job_id: str) -> None:
        while True:
            status, body = await self._request_once("GET", f"/v1/batches/{job_id}")
            if status == 200:
                job.statuses.append(msgspec.json.decode(body)["status"])
                if job.statuses[-1] in TERMINAL_STATUSES:
                    return
            await self._http.sleep(POLL_S)

    async def _read_all(self, job: JobRecord, job_id: str) -> None:
        view = await self._request_until_ok("GET", f"/v1/batches/{job_id}")
        if view is None:
            job.unreadable += 1
            return
        job.statuses.append(view["status"])
        if view["status"] not in TERMINAL_STATUSES:
            await self._poll_until_finished(job, job_id)
            await self._read_all(job, job_id)
            return
        for name in ("output_file_id", "error_file_id"):
            if view[name] is not None:
                await self._read_file(job, view[name])

    async def _read_file(self, job: JobRecord, file_id: str) -> None:
        for _ in range(MAX_READS):
            status, body = await self._request_once(
                "GET", f"/v1/files/{file_id}/content"
            )
            if status == 200:
                for line in body.splitlines():
                    _add_line(job, msgspec.json.decode(line))
                return
            await self._http.sleep(RETRY_PAUSE_S)
        job.unreadable += 1

    async def _cancel(self, job: JobRecord) -> None:
        path = f"/v1/batches/{job.job_ids[0]}/cancel"
        content = await self._request_until_ok("POST", path, b"")
        if content is not None and content["status"] in ("cancelling", "cancelled"):
            job.cancel_acknowledged_at = self._world.clock.seconds()

    async def _request_until_ok(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> dict[str, Any] | None:
        """Returns the body of a successful response; `None` after `MAX_ATTEMPTS`."""
        for _ in range(MAX_ATTEMPTS):
            status, content = await self._request_once(method, path, body, headers)
            if status == 200:
                return msgspec.json.decode(content)
            await self._http.sleep(RETRY_PAUSE_S)
        return None

    async def _request_once(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        entry = self._entries[self._requests_sent % len(self._entries)]
        self._requests_sent += 1
        address = self._world.entries[entry].entry.instance.address
        url = f"http://{address}{path}"
        try:
            return await self._http.request(method, url, body, headers)
        except TRANSPORT_ERRORS:
            return 0, b""


def _form(key: str, lines: bytes) -> bytes:
    part = f"--{BOUNDARY}\r\nContent-Disposition: form-data; name="
    purpose = f'{part}"purpose"\r\n\r\nbatch\r\n'
    file = f'{part}"file"; filename="{key}.jsonl"\r\n\r\n'
    end = f"\r\n--{BOUNDARY}--\r\n"
    return (purpose + file).encode() + lines + end.encode()


def _body(marker: str, endpoint: str) -> dict[str, Any]:
    text = f"{marker} draft the note of this item"
    if marker.startswith("poison"):
        text += " CRASH-ENGINE"
    fields: dict[str, Any] = {
        "model": MODEL,
        "max_tokens": LINE_TOKENS,
        "ignore_eos": True,
    }
    if endpoint == CHAT:
        return fields | {"messages": [{"role": "user", "content": text}]}
    return fields | {"prompt": text}


def _lines(bodies: dict[str, dict[str, Any]], endpoint: str) -> bytes:
    lines = [
        {"custom_id": marker, "method": "POST", "url": endpoint, "body": body}
        for marker, body in bodies.items()
    ]
    return b"".join(msgspec.json.encode(line) + b"\n" for line in lines)


def _add_line(job: JobRecord, line: dict[str, Any]) -> None:
    marker = line["custom_id"]
    response = line["response"]
    if response is None:
        job.failures.setdefault(marker, []).append(line["error"]["code"])
        return
    choice = response["body"]["choices"][0]
    text = choice["message"]["content"] if "message" in choice else choice["text"]
    job.results.setdefault(marker, []).append(text)
