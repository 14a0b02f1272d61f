"""Loads files of JSON with comments into attrs classes."""

import pathlib
from typing import Any, TypeVar

import attrs
import jsonc

from ._errors import SettingsError
from ._fault import Fault, FaultCode
from ._positions import blank_comments, find_lines
from ._structure import structure

T = TypeVar("T")


def load_settings(path: str | pathlib.Path, cls: type[T]) -> T:
    """Returns the settings of type ``cls`` in a file.

        load_settings("entry.jsonc", EntrySettings).port

    Raises `SettingsError` with every fault of the file.
    """
    return parse_settings(read_text(path), cls, str(path))


def read_text(path: str | pathlib.Path) -> str:
    """Returns a file's text; raises `SettingsError` if it cannot be read."""
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        fault = Fault("", FaultCode.UNREADABLE_FILE, f"cannot be read: {exc}")
        raise SettingsError([fault], str(path)) from exc


def parse_settings(text: str, cls: type[T], file: str = "") -> T:
    """Returns the settings of type ``cls`` in ``text``.

    ``file`` is the name that messages show. Raises `SettingsError` with every fault.
    """
    value, faults = structure(parse_json(text, file), cls)
    if value is None or faults:
        raise SettingsError(add_lines(text, faults), file)
    return value


def parse_json(text: str, file: str = "") -> Any:
    """Returns the data of a JSON document with comments; raises `SettingsError`."""
    try:
        return jsonc.loads(blank_comments(text), parse_constant=_refuse_constant)
    except jsonc.JSONDecodeError as exc:
        message = f"is not JSON with comments: {exc.msg}, column {exc.colno}"
        line = min(exc.lineno, text.count("\n") + 1)
        fault = Fault("", FaultCode.NOT_JSON, message, line=line)
    except _ConstantError as exc:
        fault = Fault("", FaultCode.NOT_JSON, f"{exc} is not a JSON number")
    except RecursionError:
        fault = Fault("", FaultCode.NOT_JSON, "is nested too deeply")
    except ValueError:
        fault = Fault("", FaultCode.NOT_JSON, "has a number with too many digits")
    raise SettingsError([fault], file)


def add_lines(text: str, faults: list[Fault]) -> list[Fault]:
    """Returns the faults with the lines of their keys, in line order."""
    lines = find_lines(text)
    located = [attrs.evolve(f, line=_line_of(f.path, lines)) for f in faults]
    return sorted(located, key=lambda fault: fault.line)


def _line_of(path: str, lines: dict[str, int]) -> int:
    while path and path not in lines:
        path = path[: max(path.rfind("."), path.rfind("["), 0)]
    return lines.get(path, 1)


class _ConstantError(Exception):
    """The text has a constant such as NaN, which is not valid in JSON."""


def _refuse_constant(name: str) -> Any:
    raise _ConstantError(name)
