"""Records which answers each generated value came from."""

from enum import Enum
from typing import Any, TypeVar

import attrs

from ._explanation import Explanation, Source

T = TypeVar("T")


@attrs.frozen
class Ref:
    """An answer together with the place where it stands.

    ref = Ref(answers, "")
    ref.part("link").source("megabits_per_s").answer
    """

    owner: Any
    path: str

    def part(self, name: str) -> "Ref":
        """Returns the reference to a nested part."""
        return Ref(getattr(self.owner, name), self._join(name))

    def parts(self, name: str) -> "list[Ref]":
        """Returns references to the parts of a list."""
        prefix = self._join(name)
        items = getattr(self.owner, name)
        return [Ref(item, f"{prefix}[{index}]") for index, item in enumerate(items)]

    def source(self, name: str) -> Source:
        """Returns an answer with its question."""
        field = getattr(attrs.fields(type(self.owner)), name)
        answer = getattr(self.owner, name)
        return Source(self._join(name), field.metadata["help"], _plain(answer))

    def _join(self, name: str) -> str:
        return f"{self.path}.{name}" if self.path else name


class Trace:
    """Collects explanations while a configuration is generated."""

    def __init__(self) -> None:
        self.explanations: list[Explanation] = []

    def note(self, path: str, value: T, *sources: Source) -> T:
        """Records where ``value`` comes from and returns it."""
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
