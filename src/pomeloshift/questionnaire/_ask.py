"""Asks the questions of the questionnaire interactively."""

import typing
from collections.abc import Callable
from enum import Enum
from typing import Any

import attrs

from ..settings import structure_field
from ._answers import Answers
from ._people import KeyAnswers

YES = ("y", "yes", "true")
NO = ("n", "no", "false")

Ask = Callable[[str], str]
MakeKey = Callable[[str], KeyAnswers]


def ask_answers(deployment: str, ask: Ask, show: Ask, make_key: MakeKey) -> Answers:
    """Returns the answers that a person enters.

    ``ask`` shows a prompt and returns the line entered, ``show`` shows a line, and
    ``make_key`` returns a new key for the name of its holder. An invalid answer is
    asked for again; an empty one selects the default in brackets.
    """
    return _Interview(ask, show, make_key).ask_part(Answers, {"deployment": deployment})


class _Interview:
    def __init__(self, ask: Ask, show: Ask, make_key: MakeKey) -> None:
        self._ask = ask
        self._show = show
        self._make_key = make_key

    def ask_part(self, cls: type, known: dict[str, Any] | None = None) -> Any:
        """Returns an instance of ``cls``; asks for each field not in ``known``."""
        values = dict(known or {})
        hints = typing.get_type_hints(cls)
        for field in attrs.fields(cls):
            if field.name not in values:
                values[field.name] = self._ask_field(cls, field, hints, values)
        return cls(**values)

    def _ask_field(
        self, cls: type, field: Any, hints: dict[str, Any], values: dict[str, Any]
    ) -> Any:
        hint = hints[field.name]
        holder = str(values.get("name", ""))
        if hint is KeyAnswers:
            return self._make_key(holder)
        if attrs.has(hint):
            self._show(field.metadata["help"])
            return self.ask_part(hint)
        if typing.get_origin(hint) is not tuple:
            return self._ask_value(cls, field, hint)
        item = typing.get_args(hint)[0]
        if item is KeyAnswers:
            return (self._make_key(holder),)
        if attrs.has(item):
            return self._ask_list(field, item)
        return self._ask_value(cls, field, hint)

    def _ask_list(self, field: Any, item: type) -> tuple[Any, ...]:
        self._show(field.metadata["help"])
        items: list[Any] = []
        needs_one = field.default is attrs.NOTHING
        while (needs_one and not items) or self._wants_more(item, len(items)):
            items.append(self.ask_part(item))
        return tuple(items)

    def _wants_more(self, item: type, count: int) -> bool:
        noun = item.__name__.removesuffix("Answers").lower()
        while True:
            text = self._ask(f"Add {'another' if count else 'a'} {noun}? [n] ").strip()
            if text.lower() in YES:
                return True
            if not text or text.lower() in NO:
                return False
            self._show("Answer y or n.")

    def _ask_value(self, cls: type, field: Any, hint: Any) -> Any:
        has_default = field.default is not attrs.NOTHING
        default = f" [{_format_default(field.default)}]" if has_default else ""
        while True:
            text = self._ask(f"{field.metadata['help']}{default} ").strip()
            if not text and has_default:
                return field.default
            value, faults = structure_field(cls, field.name, _parse(text, hint))
            if not faults:
                return value
            for fault in faults:
                self._show(f"  {fault.message}")


def _parse(text: str, hint: Any) -> Any:
    if typing.get_origin(hint) is tuple:
        return [part.strip() for part in text.split(",") if part.strip()]
    if hint is bool and text.lower() in YES + NO:
        return text.lower() in YES
    if hint in (int, float):
        for number in (int, float):
            try:
                return number(text)
            except ValueError:
                continue
    return text


def _format_default(default: Any) -> str:
    if isinstance(default, Enum):
        return str(default.value)
    if isinstance(default, bool):
        return "y" if default else "n"
    if isinstance(default, tuple):
        return ", ".join(default)
    return str(default)
