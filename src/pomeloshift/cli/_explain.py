"""The command that prints the log lines about a request, a job or an item."""

import sys
from collections.abc import Iterator
from pathlib import Path

from ..explain import LogLine, explain, parse_line
from ..gateway._event_catalogue import EVENTS

EXIT_NOT_FOUND = 1
DECISIVE = frozenset(spec.name for spec in EVENTS if spec.is_decisive)


def explain_id(wanted: str, files: tuple[str, ...]) -> int:
    """Prints the decisive line and then all lines about an id.

    Returns the exit code: 0, or 1 if there is no line about the id.
    """
    found = explain(wanted, _read_lines(files), DECISIVE)
    if not found.lines:
        print(f"{wanted}: no log line in {len(files)} files", file=sys.stderr)
        return EXIT_NOT_FOUND
    if found.decisive is not None:
        print(f"decisive: {_format(found.decisive)}")
    for line in found.lines:
        print(_format(line))
    return 0


def _read_lines(files: tuple[str, ...]) -> Iterator[LogLine]:
    for file in files:
        with Path(file).open(encoding="utf-8", errors="replace") as stream:
            for number, text in enumerate(stream, 1):
                line = parse_line(text, Path(file).name, number)
                if line is not None:
                    yield line


def _format(line: LogLine) -> str:
    return f"{line.source}:{line.number}: {line.text}"
