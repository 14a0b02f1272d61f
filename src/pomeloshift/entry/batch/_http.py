"""The HTTP API for files and batches."""

from typing import Any

from klein import Klein
from twisted.web.server import NOT_DONE_YET, Request

from ...net._http import (
    InvalidRequestError,
    handles_errors,
    read_json,
    respond_json,
)
from .._auth import Authenticator
from ._form import read_upload
from ._response_writer import ResponseWriter
from ._service import JobService

MAX_PAGE = 100
DEFAULT_PAGE = 20
DEFAULT_WINDOW = "24h"


class FilesAndBatches:
    """The OpenAI-compatible routes below ``/v1/files`` and ``/v1/batches``."""

    app = Klein()

    def __init__(self, service: JobService, auth: Authenticator) -> None:
        self._service = service
        self._auth = auth

    @property
    def resource(self) -> Any:
        """The resource; mount it where it receives the full request path."""
        return self.app.resource()

    @app.route("/v1/files", methods=["POST"])
    @handles_errors
    async def upload_file(self, req: Request) -> bytes:
        """Stores a file and returns its description."""
        workspace = self._workspace(req)
        form = read_upload(req)
        view = await self._service.upload_file(
            workspace, form.filename, form.purpose, form.data
        )
        return respond_json(req, view.as_json())

    @app.route("/v1/files", methods=["GET"])
    @handles_errors
    async def list_files(self, req: Request) -> bytes:
        """Lists the workspace's files, newest first."""
        workspace = self._workspace(req)
        files, has_more = await self._service.list_files(
            workspace, _limit(req), _arg(req, b"after"), _arg(req, b"purpose")
        )
        return respond_json(req, _page([view.as_json() for view in files], has_more))

    @app.route("/v1/files/<file_id>", methods=["GET"])
    @handles_errors
    async def get_file(self, req: Request, file_id: str) -> bytes:
        """Returns a file's description."""
        view = await self._service.get_file(self._workspace(req), file_id)
        return respond_json(req, view.as_json())

    @app.route("/v1/files/<file_id>", methods=["DELETE"])
    @handles_errors
    async def delete_file(self, req: Request, file_id: str) -> bytes:
        """Deletes a file; responds with an error if there is none."""
        await self._service.delete_file(self._workspace(req), file_id)
        body = {"id": file_id, "object": "file", "deleted": True}
        return respond_json(req, body)

    @app.route("/v1/files/<file_id>/content", methods=["GET"])
    @handles_errors
    async def file_content(self, req: Request, file_id: str) -> Any:
        """Streams a file's content part by part."""
        workspace = self._workspace(req)
        writer = ResponseWriter(req)
        async for part in self._service.file_content(workspace, file_id):
            await writer.write(part)
        writer.finish()
        return NOT_DONE_YET

    @app.route("/v1/batches", methods=["POST"])
    @handles_errors
    async def create_batch(self, req: Request) -> bytes:
        """Creates a job; a repeated request returns the existing one."""
        workspace = self._workspace(req)
        body = read_json(req)
        view = await self._service.create_job(
            workspace,
            _text(body, "input_file_id"),
            _text(body, "endpoint"),
            _text(body, "completion_window", DEFAULT_WINDOW),
            _metadata(body),
            req.getHeader("idempotency-key") or "",
        )
        return respond_json(req, view.as_json())

    @app.route("/v1/batches", methods=["GET"])
    @handles_errors
    async def list_batches(self, req: Request) -> bytes:
        """Lists the workspace's jobs, newest first."""
        workspace = self._workspace(req)
        jobs, has_more = await self._service.list_jobs(
            workspace, _limit(req), _arg(req, b"after")
        )
        return respond_json(req, _page([view.as_json() for view in jobs], has_more))

    @app.route("/v1/batches/<job_id>", methods=["GET"])
    @handles_errors
    async def get_batch(self, req: Request, job_id: str) -> bytes:
        """Returns a job's status and its counts of items."""
        view = await self._service.get_job(self._workspace(req), job_id)
        return respond_json(req, view.as_json())

    @app.route("/v1/batches/<job_id>/cancel", methods=["POST"])
    @handles_errors
    async def cancel_batch(self, req: Request, job_id: str) -> bytes:
        """Cancels a job and returns it."""
        view = await self._service.cancel_job(self._workspace(req), job_id)
        return respond_json(req, view.as_json())

    def _workspace(self, req: Request) -> str:
        return self._auth.workspace_for(req.getHeader("authorization"))


def _page(data: list[dict[str, Any]], has_more: bool) -> dict[str, Any]:
    return {
        "object": "list",
        "data": data,
        "first_id": data[0]["id"] if data else None,
        "last_id": data[-1]["id"] if data else None,
        "has_more": has_more,
    }


def _arg(req: Request, name: bytes) -> str:
    args: Any = req.args
    return args.get(name, [b""])[0].decode("utf-8", "replace")


def _limit(req: Request) -> int:
    text = _arg(req, b"limit")
    if not text:
        return DEFAULT_PAGE
    if not text.isdecimal() or int(text) == 0:
        raise InvalidRequestError("limit is not a positive integer")
    return min(int(text), MAX_PAGE)


def _text(body: dict[str, Any], name: str, default: str | None = None) -> str:
    value = body.get(name, default)
    if not isinstance(value, str) or not value:
        raise InvalidRequestError(f"{name} is not a non-empty string")
    return value


def _metadata(body: dict[str, Any]) -> dict[str, str]:
    fields = body.get("metadata") or {}
    if not isinstance(fields, dict) or not all(
        isinstance(value, str) for value in fields.values()
    ):
        raise InvalidRequestError("metadata does not map strings to strings")
    return fields
