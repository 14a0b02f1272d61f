"""Parses a line of a process's log."""

import re

import attrs

# Fields that name what a line is about.
ID_FIELDS = ("id", "job", "fingerprint", "part")

PAIR = re.compile(r'(\w+)=("[^"]*"|\S*)')


@attrs.frozen
class LogLine:
    """The fields of a log line, with its file and its line number there."""

    source: str
    number: int
    text: str
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """The name of the event, empty if the line has none."""
        return self.fields.get("event", "")

    @property
    def time(self) -> str:
        """The time that the process logged, in ISO 8601, empty if it is missing."""
        return self.fields.get("time", "")

    def mentions(self, ids: set[str]) -> bool:
        """Whether one of the ids is in a field that names what the line is about."""
        return any(self.fields.get(name) in ids for name in ID_FIELDS)


def parse_line(text: str, source: str, number: int) -> LogLine | None:
    """Parses a line of ``key=value`` pairs; returns None for any other line."""
    at = text.find("time=")
    if at < 0 or " event=" not in text:
        return None
    text = text[at:].rstrip("\n")
    fields = {key: value.strip('"') for key, value in PAIR.findall(text)}
    return LogLine(source, number, text, fields)
