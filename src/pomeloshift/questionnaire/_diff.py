"""Compares two configurations value by value."""

from enum import Enum
from typing import Any

import attrs

from ..config import Configuration

IDENTIFYING_FIELDS = ("name", "key_id")


@attrs.frozen
class Change:
    """A value that differs; `None` stands for a missing value."""

    path: str
    old: Any
    new: Any


def diff_configurations(old: Configuration, new: Configuration) -> list[Change]:
    """Returns all values that differ, in the order of their paths.

    List items are identified by their names, as in ``services[vezi-lm].batch_weight``,
    so that adding a service does not change the paths of the others.
    """
    before, after = dict(_leaves(old, "")), dict(_leaves(new, ""))
    return [
        Change(path, before.get(path), after.get(path))
        for path in sorted(before.keys() | after.keys())
        if before.get(path) != after.get(path)
    ]


def _leaves(value: Any, path: str) -> Any:
    if attrs.has(type(value)):
        for field in attrs.fields(type(value)):
            inner = f"{path}.{field.name}" if path else field.name
            yield from _leaves(getattr(value, field.name), inner)
    elif isinstance(value, tuple) and value and attrs.has(type(value[0])):
        for index, item in enumerate(value):
            yield from _leaves(item, f"{path}[{_label(item, index)}]")
    else:
        yield path, value.value if isinstance(value, Enum) else value


def _label(item: Any, index: int) -> str:
    for name in IDENTIFYING_FIELDS:
        if hasattr(item, name):
            return str(getattr(item, name))
    return str(index)
