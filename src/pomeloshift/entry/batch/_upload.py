"""Validates uploaded files and splits them into chunks."""

from collections.abc import AsyncIterator
from typing import Any

from twisted.internet.task import deferLater

from ...batch import InputChecker, cut_at_lines

BATCH_PURPOSE = "batch"


async def checked_chunks(
    data: bytes, purpose: str, reactor: Any
) -> AsyncIterator[bytes]:
    """Yields a file's chunks and validates the items of a batch input file.

    Returns control to the event loop between chunks. Raises `InvalidJsonlError`.
    """
    checker = InputChecker() if purpose == BATCH_PURPOSE else None
    for chunk in cut_at_lines(data):
        if checker is not None:
            for line in chunk.removesuffix(b"\n").split(b"\n"):
                checker.check(line)
        yield chunk
        await deferLater(reactor, 0)
    if checker is not None:
        checker.finish()
