"""Records the answers from which each generated value is derived."""

from enum import Enum
from typing import Any, TypeVar

import attrs

from ._explanation import Explanation, Source

T = TypeVar("T")


@attrs.frozen
class Ref:
    """A reference to a part of the answers, with its path in the questionnaire.

    Example: ``Ref(answers, "").part("link").source("megabits_per_s").answer``.
    """

    answers: Any
    path: str

    def part(self, name: str) -> "Ref":
        """Returns the reference to a nested part."""
        return Ref(getattr(self.answers, name), self._join(name))

    def parts(self, name: str) -> "list[Ref]":
        """Returns references to the items of a list."""
        prefix = self._join(name)
        items = getattr(self.answers, name)
        return [Ref(item, f"{prefix}[{index}]") for index, item in enumerate(items)]

    def source(self, name: str) -> Source:
        """Returns the answer of the field ``name``, with its path and question."""
        field = getattr(attrs.fields(type(self.answers)), name)
        answer = getattr(self.answers, name)
        return Source(self._join(name), field.metadata["help"], _plain(answer))

    def _join(self, name: str) -> str:
        return f"{self.path}.{name}" if self.path else name


class Trace:
    """Collects explanations while a configuration is generated."""

    def __init__(self) -> None:
        self.explanations: list[Explanation] = []

    def record(self, path: str, value: T, *sources: Source) -> T:
        """Records the sources of the value at ``path`` and returns the value."""
        self.explanations.append(Explanation(path, _plain(value), sources))
        return value


def _plain(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple):
        return [_plain(item) for item in value]
    if attrs.has(type(value)):
        return attrs.asdict(value, value_serializer=lambda _, __, item: _plain(item))
    return value
