"""Ids derived from the content, so that a repeated request gets the same id."""

import hashlib
import json
from collections.abc import Mapping

from ._errors import UnknownFileError, UnknownJobError

DIGEST_CHARS = 24
PARTITION_CHARS = 8
FILE_PREFIX = "file"
JOB_PREFIX = "batch"
OUTPUT_SUFFIX = "-output"
ERROR_SUFFIX = "-error"


def partition_stream(partition: int) -> str:
    """Returns the name of a partition's stream."""
    return f"jobs-{partition:03d}"


def file_id_for(workspace: str, purpose: str, data: bytes, partitions: int) -> str:
    """Returns the id of a file with this content."""
    content = hashlib.sha256(data).hexdigest()
    digest = _digest(workspace, purpose, content)
    return f"{FILE_PREFIX}-{_partition(digest, partitions):03d}-{digest}"


def job_id_for(
    workspace: str, idempotency_key: str, request: str, partitions: int
) -> str:
    """Returns the id of a job.

    It is derived from the idempotency key if there is one, else from ``request``, the
    digest of the request.
    """
    if idempotency_key:
        digest = _digest("key", workspace, idempotency_key)
    else:
        digest = _digest("request", workspace, request)
    return job_id_from_digest(_partition(digest, partitions), digest)


def job_id_from_digest(partition: int, digest: str) -> str:
    """Returns the id of a job from its partition and digest."""
    return f"{JOB_PREFIX}_{partition:03d}_{digest}"


def request_digest(
    input_file_id: str,
    endpoint: str,
    completion_window: str,
    metadata: Mapping[str, str],
) -> str:
    """Returns a digest that is equal for equal requests to create a job."""
    fields = json.dumps(dict(metadata), sort_keys=True)
    return _digest(input_file_id, endpoint, completion_window, fields)


def partition_of_file(file_id: str, partitions: int) -> int:
    """Returns the partition named in a file's id; raises `UnknownFileError`."""
    partition = _named_partition(file_id, "-", FILE_PREFIX, partitions)
    if partition is None:
        raise UnknownFileError(f"there is no file {file_id!r}")
    return partition


def partition_of_job(job_id: str, partitions: int) -> int:
    """Returns the partition named in a job's id; raises `UnknownJobError`."""
    partition = _named_partition(job_id, "_", JOB_PREFIX, partitions)
    if partition is None:
        raise UnknownJobError(f"there is no batch {job_id!r}")
    return partition


def output_file_id(job_id: str) -> str:
    """Returns the id of the file with the responses of a job's completed items."""
    return job_id.replace(JOB_PREFIX, FILE_PREFIX, 1).replace("_", "-") + OUTPUT_SUFFIX


def error_file_id(job_id: str) -> str:
    """Returns the id of the file with the errors of a job's failed items."""
    return job_id.replace(JOB_PREFIX, FILE_PREFIX, 1).replace("_", "-") + ERROR_SUFFIX


def job_of_result_file(file_id: str) -> str | None:
    """Returns the id of the job whose results a file holds, or `None`."""
    for suffix in (OUTPUT_SUFFIX, ERROR_SUFFIX):
        if file_id.endswith(suffix):
            name = file_id.removesuffix(suffix).replace("-", "_")
            return name.replace(FILE_PREFIX, JOB_PREFIX, 1)
    return None


def _digest(*parts: str) -> str:
    hasher = hashlib.sha256()
    for part in parts:
        encoded = part.encode()
        hasher.update(len(encoded).to_bytes(8, "big"))
        hasher.update(encoded)
    return hasher.hexdigest()[:DIGEST_CHARS]


def _partition(digest: str, partitions: int) -> int:
    return int(digest[:PARTITION_CHARS], 16) % partitions


def _named_partition(
    name: str, separator: str, prefix: str, partitions: int
) -> int | None:
    fields = name.split(separator)
    if len(fields) < 3 or fields[0] != prefix or not fields[1].isdecimal():
        return None
    partition = int(fields[1])
    return partition if partition < partitions else None
