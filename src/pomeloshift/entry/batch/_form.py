"""Parses the multipart form of a file upload."""

from io import BytesIO

import attrs
from multipart import MultipartError, MultipartParser, parse_options_header
from twisted.web.server import Request

from ...net._http import InvalidRequestError, read_body

FORM_TYPE = "multipart/form-data"
MAX_FORM_BYTES = 268_435_456


@attrs.frozen
class UploadForm:
    """The fields of an upload form; ``data`` is the file's content."""

    filename: str
    purpose: str
    data: bytes


def read_upload(req: Request) -> UploadForm:
    """Returns the upload in a request; raises `InvalidRequestError`."""
    header = req.getHeader("content-type") or ""
    kind, options = parse_options_header(header)
    if kind != FORM_TYPE or "boundary" not in options:
        raise InvalidRequestError(f"the content type is not {FORM_TYPE}")
    body = read_body(req)
    try:
        parser = MultipartParser(
            BytesIO(body),
            options["boundary"],
            len(body),
            spool_limit=MAX_FORM_BYTES,
            memory_limit=MAX_FORM_BYTES,
        )
        parts = {part.name: part for part in parser}
    except MultipartError as exc:
        raise InvalidRequestError(f"the form is malformed: {exc}") from exc
    if "file" not in parts or "purpose" not in parts:
        raise InvalidRequestError("an upload needs the fields 'file' and 'purpose'")
    file = parts["file"]
    return UploadForm(file.filename or "upload", parts["purpose"].value, file.raw)
