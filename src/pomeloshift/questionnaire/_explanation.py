"""The answers from which a value of the configuration is derived."""

from typing import Any

import attrs


@attrs.frozen
class Source:
    """An answer from which a value is derived, with its question."""

    path: str
    question: str
    answer: Any


@attrs.frozen
class Explanation:
    """One value of the configuration and the answers from which it is derived.

    ``path`` is the path of the value, such as ``services[0].batch_weight``.
    """

    path: str
    value: Any
    sources: tuple[Source, ...]

    @property
    def question(self) -> str:
        """The questions of all sources, without repetition."""
        return " ".join(dict.fromkeys(source.question for source in self.sources))

    @property
    def answer(self) -> str:
        """The answers of all sources, with their paths."""
        return "; ".join(f"{s.path} = {s.answer}" for s in self.sources)
