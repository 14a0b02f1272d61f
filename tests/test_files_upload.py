import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import Deferred

from _jobs import jsonl
from pomeloshift.batch import InputChecker, InvalidJsonlError, cut_at_lines, item_lines
from pomeloshift.batch._jsonl import MAX_LINE_BYTES
from pomeloshift.entry.batch._call_window import CallWindow


@given(
    lines=st.lists(st.binary(max_size=30).map(lambda b: b.replace(b"\n", b""))),
    chunk_bytes=st.integers(1, 50),
)
def test_chunks_hold_whole_lines_and_join_to_the_file(lines, chunk_bytes):
    data = b"\n".join(lines)
    chunks = list(cut_at_lines(data, chunk_bytes))
    assert b"".join(chunks) == data
    assert all(chunk.endswith(b"\n") for chunk in chunks[:-1])
    found = [line for chunk in chunks for line in item_lines(chunk)]
    assert found == [line for line in lines if line.strip()]


def test_content_without_line_breaks_is_split_too():
    data = b"x" * (3 * MAX_LINE_BYTES)
    chunks = list(cut_at_lines(data, 1000))
    assert b"".join(chunks) == data
    assert max(map(len, chunks)) <= MAX_LINE_BYTES


def test_line_too_long_for_a_record_is_refused():
    checker = InputChecker()
    checker.check(jsonl(1).strip())
    with pytest.raises(InvalidJsonlError) as caught:
        checker.check(b"x" * (MAX_LINE_BYTES + 1))
    assert caught.value.line == 2


def test_window_runs_a_bounded_number_of_calls_and_stops_at_a_failure():
    pending, started = [], []

    async def call(number):
        started.append(number)
        waiter = Deferred()
        pending.append(waiter)
        await waiter

    async def run():
        window = CallWindow(2)
        for number in range(5):
            await window.add(call(number))
        await window.finish()

    done = Deferred.fromCoroutine(run())
    failed = []
    done.addErrback(lambda failure: failed.append(failure.type))
    assert started == [0, 1]
    pending.pop(0).callback(None)
    assert started == [0, 1, 2]
    pending.pop(0).errback(KeyError("lost"))
    pending.pop(0).callback(None)
    assert started == [0, 1, 2]
    assert failed == [KeyError]
