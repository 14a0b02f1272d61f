"""Callers that submit jobs of batch items and read their results."""

from typing import Any

import msgspec

from ...standins.engine import expected_answer
from ._callers import LOST_ANSWERS, HttpCaller
from ._engine import MODEL
from ._history import JobRecord
from ._world import World

COMPLETIONS = "/v1/completions"
CHAT = "/v1/chat/completions"
POLL_S = 0.5
RESEND_PAUSE_S = 0.5
MAX_SENDS = 40
MAX_READS = 20
OVER = ("completed", "cancelled")
LINE_TOKENS = 12
BOUNDARY = "boundary-of-the-form"
FORM_TYPE = f"multipart/form-data; boundary={BOUNDARY}"


class JobCaller:
    """Uploads, submits, follows, cancels and reads jobs, with resends.

    ``entries`` are asked in turn; a request that got no answer, or a refusal that is
    worth another try, goes to the next one.
    """

    def __init__(self, world: World, entries: list[str]) -> None:
        self._world = world
        self._entries = entries
        self._turn = 0
        self._http = HttpCaller(world.caller)

    def submit(
        self, key: str, markers: tuple[str, ...], *, repeatable: bool = True
    ) -> JobRecord:
        """Starts to submit a job and to follow it to its end."""
        endpoint = COMPLETIONS if repeatable else CHAT
        bodies = {marker: _body(marker, endpoint) for marker in markers}
        expected = {marker: expected_answer(body) for marker, body in bodies.items()}
        poison = frozenset(m for m in markers if m.startswith("poison"))
        job = JobRecord(key, markers, expected, poison=poison, repeatable=repeatable)
        self._world.history.jobs.append(job)
        self._world.go(self._run(job, _lines(bodies, endpoint), endpoint))
        return job

    def resend(self, job: JobRecord) -> None:
        """Submits a job again with the same idempotency key."""
        endpoint = COMPLETIONS if job.repeatable else CHAT
        bodies = {marker: _body(marker, endpoint) for marker in job.markers}
        lines = _lines(bodies, endpoint)
        self._world.go(self._accept(job, lines, endpoint))

    def read_again(self, job: JobRecord) -> None:
        """Reads the results of a job anew; those read before are forgotten."""
        if job.job_ids:
            job.is_ended = False
            job.results, job.failures = {}, {}
            self._world.go(self._read_to_end(job))

    async def _read_to_end(self, job: JobRecord) -> None:
        await self._read_all(job, job.job_ids[0])
        job.is_ended = True

    def cancel(self, job: JobRecord) -> None:
        """Cancels an accepted job."""
        self._world.go(self._cancel(job))

    async def _run(self, job: JobRecord, lines: bytes, endpoint: str) -> None:
        job_id = await self._accept(job, lines, endpoint)
        if job_id is None:
            job.refused = True
        else:
            await self._follow(job, job_id)
            await self._read_all(job, job_id)
        job.is_ended = True

    async def _accept(self, job: JobRecord, lines: bytes, endpoint: str) -> str | None:
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
        answer = await self._insist("POST", "/v1/batches", body, headers)
        if answer is None:
            return None
        job.job_ids.append(answer["id"])
        return answer["id"]

    async def _upload(self, key: str, lines: bytes) -> str | None:
        for _ in range(MAX_SENDS):
            form, headers = _form(key, lines), {"content-type": FORM_TYPE}
            status, body = await self._try("POST", "/v1/files", form, headers)
            if status == 200:
                return msgspec.json.decode(body)["id"]
            await self._http.sleep(RESEND_PAUSE_S)
        return None

    async def _follow(self, job: JobRecord, job_id: str) -> None:
        while True:
            status, body = await self._try("GET", f"/v1/batches/{job_id}")
            if status == 200:
                job.statuses.append(msgspec.json.decode(body)["status"])
                if job.statuses[-1] in OVER:
                    return
            await self._http.sleep(POLL_S)

    async def _read_all(self, job: JobRecord, job_id: str) -> None:
        view = await self._insist("GET", f"/v1/batches/{job_id}")
        if view is None:
            job.unreadable += 1
            return
        job.statuses.append(view["status"])
        if view["status"] not in OVER:
            await self._follow(job, job_id)
            await self._read_all(job, job_id)
            return
        for name in ("output_file_id", "error_file_id"):
            if view[name] is not None:
                await self._read_file(job, view[name])

    async def _read_file(self, job: JobRecord, file_id: str) -> None:
        for _ in range(MAX_READS):
            status, body = await self._try("GET", f"/v1/files/{file_id}/content")
            if status == 200:
                for line in body.splitlines():
                    _take_line(job, msgspec.json.decode(line))
                return
            await self._http.sleep(RESEND_PAUSE_S)
        job.unreadable += 1

    async def _cancel(self, job: JobRecord) -> None:
        path = f"/v1/batches/{job.job_ids[0]}/cancel"
        answer = await self._insist("POST", path, b"")
        if answer is not None and answer["status"] in ("cancelling", "cancelled"):
            job.cancel_acknowledged_at = self._world.clock.seconds()

    async def _insist(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> dict[str, Any] | None:
        """Returns the answer, asking again until there is one."""
        for _ in range(MAX_SENDS):
            status, answer = await self._try(method, path, body, headers)
            if status == 200:
                return msgspec.json.decode(answer)
            await self._http.sleep(RESEND_PAUSE_S)
        return None

    async def _try(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        entry = self._entries[self._turn % len(self._entries)]
        self._turn += 1
        address = self._world.entries[entry].entry.instance.address
        url = f"http://{address}{path}"
        try:
            return await self._http.request(method, url, body, headers)
        except LOST_ANSWERS:
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


def _take_line(job: JobRecord, line: dict[str, Any]) -> None:
    marker = line["custom_id"]
    response = line["response"]
    if response is None:
        job.failures.setdefault(marker, []).append(line["error"]["code"])
        return
    choice = response["body"]["choices"][0]
    text = choice["message"]["content"] if "message" in choice else choice["text"]
    job.results.setdefault(marker, []).append(text)
