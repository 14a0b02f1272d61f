"""Finds the line of each key of a JSON document with comments."""

import re
from collections.abc import Iterator

import attrs

TOKEN = re.compile(
    r'(?P<string>"(?:\\.|[^"\\\n])*")'
    r"|(?P<comment>//[^\n]*|/\*.*?\*/)"
    r"|(?P<punctuation>[{}\[\]:,])"
    r'|(?P<literal>[^\s{}\[\]:,"/]+)',
    re.DOTALL,
)


def blank_comments(text: str) -> str:
    """Returns ``text`` with comments replaced by spaces; lines keep their numbers."""

    def blank(match: re.Match[str]) -> str:
        if match.lastgroup != "comment":
            return match.group()
        return re.sub(r"[^\n]", " ", match.group())

    return TOKEN.sub(blank, text)


@attrs.define
class _Container:
    """An object or list that is open at the scanner's position."""

    path: str
    is_list: bool
    index: int = 0
    key: str = ""

    def child_path(self) -> str:
        if self.is_list:
            return f"{self.path}[{self.index}]"
        return f"{self.path}.{self.key}" if self.path else self.key


def find_lines(text: str) -> dict[str, int]:
    """Returns the line, from 1, of each key path of a document.

    For ``{"place": {"region": "r"}}`` the paths are ``place`` and ``place.region``,
    both on line 1. A document that is not well formed gives the lines of its part
    before the first error.
    """
    lines: dict[str, int] = {}
    stack: list[_Container] = []
    expects_key = False
    for token, line in _tokens(text):
        top = stack[-1] if stack else None
        if token in "{[":
            path = _open_container(top, lines, line)
            stack.append(_Container(path, token == "["))
            expects_key = token == "{"
        elif token in "}]":
            if stack:
                stack.pop()
            expects_key = False
        elif token == ",":
            if top is not None:
                top.index += 1
            expects_key = top is not None and not top.is_list
        elif token == ":":
            expects_key = False
        elif top is not None and expects_key and token.startswith('"'):
            top.key = token[1:-1]
            lines.setdefault(top.child_path(), line)
        elif top is not None and top.is_list:
            lines.setdefault(top.child_path(), line)
    return lines


def _open_container(top: _Container | None, lines: dict[str, int], line: int) -> str:
    if top is None:
        return ""
    path = top.child_path()
    lines.setdefault(path, line)
    return path


def _tokens(text: str) -> Iterator[tuple[str, int]]:
    line = 1
    position = 0
    for match in TOKEN.finditer(text):
        line += text.count("\n", position, match.start())
        position = match.start()
        if match.lastgroup != "comment":
            yield match.group(), line
