"""Why a value of the configuration is what it is."""

from typing import Any

import attrs


@attrs.frozen
class Source:
    """An answer that led to a value, with its question."""

    path: str
    question: str
    answer: Any


@attrs.frozen
class Explanation:
    """One value of the configuration and the answers that led to it.

    ``path`` names the value as in ``services[0].batch_weight``.
    """

    path: str
    value: Any
    sources: tuple[Source, ...]

    @property
    def question(self) -> str:
        """The questions that led to the value."""
        return " ".join(dict.fromkeys(source.question for source in self.sources))

    @property
    def answer(self) -> str:
        """The answers that led to the value, with their paths."""
        return "; ".join(f"{s.path} = {s.answer}" for s in self.sources)
