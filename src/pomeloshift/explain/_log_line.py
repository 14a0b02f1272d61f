"""One line of a process's log."""

import re

import attrs

PAIR = re.compile(r'(\w+)=("[^"]*"|\S*)')


@attrs.frozen
class LogLine:
    """A line's fields, the file it stands in and its number there."""

    source: str
    number: int
    text: str
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """The event's name."""
        return self.fields.get("event", "")

    @property
    def time(self) -> str:
        """The time of day that the process wrote, in ISO 8601."""
        return self.fields.get("time", "")

    def mentions(self, ids: set[str]) -> bool:
        """Whether the line is about one of the ids."""
        return any(self.fields.get(name) in ids for name in ("id", "job"))


def parse_line(text: str, source: str, number: int) -> LogLine | None:
    """Returns a line of ``key=value`` pairs, or None if it is none."""
    at = text.find("time=")
    if at < 0 or " event=" not in text:
        return None
    text = text[at:].rstrip("\n")
    fields = {key: value.strip('"') for key, value in PAIR.findall(text)}
    return LogLine(source, number, text, fields)
