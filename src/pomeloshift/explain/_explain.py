"""Finds the log lines about one id and puts them in order."""

from collections.abc import Iterable

import attrs

from ._log_line import LogLine

# Events that say because of which prompt part a request or item was not sent.
QUARANTINE_EVENTS = frozenset({"request_quarantined", "item_held"})
# How a line writes that its request takes up no stream.
NO_STREAM = frozenset({"", "None"})


@attrs.frozen
class Explanation:
    """The log lines about an id, in order.

    ``decisive`` is the last of them that states the outcome, or None.
    """

    decisive: LogLine | None
    lines: tuple[LogLine, ...]


def explain(
    wanted: str, lines: Iterable[LogLine], decisive_events: frozenset[str]
) -> Explanation:
    """Returns the lines about the request, job or item with the id ``wanted``.

    For an item, the lines of its job's own events are included; for a job, the lines
    of its items; for a request, the crashes of engines under its retries and under the
    prompt part because of which it was stopped, and the beginning of the stream that it
    takes up. The lines of one file keep their order,
    also where its clock was set back. Files are merged by the times in their lines, so
    clocks that differ by seconds can change the order between files.

    ``decisive_events`` are the events that state an outcome.
    """
    known = list(lines)
    jobs = {
        line.fields["job"]
        for line in known
        if line.fields.get("id") == wanted and "job" in line.fields
    }
    fingerprints = {
        line.fields["fingerprint"]
        for line in known
        if line.fields.get("id") == wanted and "fingerprint" in line.fields
    }
    parts = {
        line.fields["part"]
        for line in known
        if line.fields.get("id") == wanted
        and line.event in QUARANTINE_EVENTS
        and "part" in line.fields
    }
    streams = {
        line.fields["resumes"]
        for line in known
        if line.fields.get("id") == wanted and "resumes" in line.fields
    }
    ids = {wanted, *fingerprints, *parts, *streams - NO_STREAM}
    found = [line for line in known if _belongs(line, ids, jobs)]
    ordered = _merge(found)
    about = [line for line in ordered if line.fields.get("id") == wanted] or ordered
    decisive = [line for line in about if line.event in decisive_events]
    return Explanation(decisive[-1] if decisive else None, tuple(ordered))


def _belongs(line: LogLine, ids: set[str], jobs: set[str]) -> bool:
    if line.mentions(ids):
        return True
    return line.fields.get("id") in jobs and line.event.startswith("job_")


def _merge(lines: list[LogLine]) -> list[LogLine]:
    """Merges files by time and keeps each file's own order."""
    latest: dict[str, str] = {}
    keyed = []
    for position, line in enumerate(lines):
        # Lines of one file keep their order, even if the clock was set back between
        # them.
        time = max(line.time, latest.get(line.source, ""))
        latest[line.source] = time
        keyed.append((time, position, line))
    keyed.sort(key=lambda entry: entry[:2])
    return [line for _, _, line in keyed]
