import os

import pytest
from loguru import logger

from pomeloshift.net._logging import NonBlockingStream, configure_logging

PIPE_BYTES = 65536


@pytest.fixture
def pipe():
    """The read and write ends of a pipe; only the test itself reads from it."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


@pytest.fixture
def log(pipe):
    """Sends loguru's lines to the pipe and yields the stream."""
    stream = NonBlockingStream(pipe[1], held_bytes=4096)
    configure_logging("INFO", stream)
    yield stream
    configure_logging("INFO")


def read_all(reader):
    parts = []
    while True:
        try:
            parts.append(os.read(reader, PIPE_BYTES))
        except BlockingIOError:
            return b"".join(parts).decode()


def messages(text):
    return [line.split(" ", 2)[2] for line in text.splitlines()]


def fill(log):
    while log.dropped == 0:
        logger.info("event=filler")


def test_full_pipe_does_not_block_and_warnings_are_held(pipe, log):
    fill(log)
    logger.info("event=request_answered id=1")
    logger.warning("event=request_failed id=2")
    logger.info("event=request_answered id=3")
    assert log.dropped == 3
    seen = messages(read_all(pipe[0]))
    assert set(seen) == {"event=filler"}
    logger.info("event=request_answered id=4")
    seen = messages(read_all(pipe[0]))
    assert seen == ["event=request_failed id=2", "event=request_answered id=4"]


def test_held_bytes_are_bounded(pipe, log):
    fill(log)
    for number in range(1000):
        logger.warning(f"event=request_failed id={number}")
    dropped = log.dropped - 1
    read_all(pipe[0])
    log.flush()
    seen = messages(read_all(pipe[0]))
    assert seen == [f"event=request_failed id={n}" for n in range(1000 - dropped)]
    assert 0 < len(seen) < 100


def test_partly_written_line_is_completed_first(pipe, log):
    fill(log)
    os.read(pipe[0], 8192)
    logger.info("event=long text=" + "x" * 40000)
    logger.info("event=request_answered id=1")
    text = read_all(pipe[0])
    log.flush()
    text += read_all(pipe[0])
    # The first read has consumed a part of the first line.
    rest = text.split("\n", 1)[1]
    assert messages(rest)[-1] == "event=long text=" + "x" * 40000
    logger.info("event=request_answered id=2")
    assert messages(read_all(pipe[0])) == ["event=request_answered id=2"]


def test_closed_reader_does_not_block_or_raise(pipe, log):
    reader = os.dup(pipe[0])
    os.close(pipe[0])
    os.close(reader)
    os.dup2(os.open(os.devnull, os.O_RDONLY), pipe[0])
    logger.info("event=request_answered id=1")
    assert log.dropped == 1
