"""The lines about one id, in order."""

from collections.abc import Iterable

import attrs

from ._log_line import LogLine


@attrs.frozen
class Explanation:
    """What was found: the line that settled the matter, and all lines in order."""

    decisive: LogLine | None
    lines: tuple[LogLine, ...]


def explain(
    wanted: str, lines: Iterable[LogLine], decisive_events: frozenset[str]
) -> Explanation:
    """Returns the lines about a request, a job or an item.

    For an item these are also its job's lines of acceptance and end. The lines of one
    file keep their order, whatever its clock says; files are merged by the times that
    they state, which may differ by seconds.
    """
    known = list(lines)
    jobs = {
        line.fields["job"]
        for line in known
        if line.fields.get("id") == wanted and "job" in line.fields
    }
    found = [line for line in known if _belongs(line, wanted, jobs)]
    ordered = _merge(found)
    about = [line for line in ordered if line.fields.get("id") == wanted] or ordered
    settled = [line for line in about if line.event in decisive_events]
    return Explanation(settled[-1] if settled else None, tuple(ordered))


def _belongs(line: LogLine, wanted: str, jobs: set[str]) -> bool:
    if line.mentions({wanted}):
        return True
    return line.fields.get("id") in jobs and line.event.startswith("job_")


def _merge(lines: list[LogLine]) -> list[LogLine]:
    """Merges files by time and keeps each file's own order."""
    latest: dict[str, str] = {}
    keyed = []
    for position, line in enumerate(lines):
        # A clock that was set back does not move a line before its predecessor.
        time = max(line.time, latest.get(line.source, ""))
        latest[line.source] = time
        keyed.append((time, position, line))
    keyed.sort(key=lambda entry: entry[:2])
    return [line for _, _, line in keyed]
