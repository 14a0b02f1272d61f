"""Renders questionnaires as JSON with a comment before each answer."""

import json
import textwrap
from enum import Enum
from typing import Any

import attrs

from ._answers import Answers

INDENT = "  "
WIDTH = 80


def render_answers(answers: Answers) -> str:
    """Returns the text of a questionnaire, with each question as a comment.

    In a list, only the first item has the questions.
    """
    lines = [f"// Questionnaire of the deployment {answers.deployment}.", ""]
    lines += _render(answers, 0, True)
    return "\n".join(lines) + "\n"


def _render(value: Any, depth: int, with_questions: bool) -> list[str]:
    if attrs.has(type(value)):
        return _render_object(value, depth, with_questions)
    if isinstance(value, tuple):
        return _render_list(value, depth, with_questions)
    return [_scalar(value)]


def _render_object(value: Any, depth: int, with_questions: bool) -> list[str]:
    lines = ["{"]
    pad = INDENT * (depth + 1)
    fields = attrs.fields(type(value))
    for position, field in enumerate(fields):
        if with_questions:
            lines += _comment(field.metadata.get("help", ""), pad)
        body = _render(getattr(value, field.name), depth + 1, with_questions)
        body[0] = f"{pad}{json.dumps(field.name)}: {body[0]}"
        if position < len(fields) - 1:
            body[-1] += ","
        lines += body
    return [*lines, INDENT * depth + "}"]


def _render_list(value: tuple[Any, ...], depth: int, with_questions: bool) -> list[str]:
    if not any(attrs.has(type(item)) for item in value):
        return ["[" + ", ".join(_scalar(item) for item in value) + "]"]
    lines = ["["]
    pad = INDENT * (depth + 1)
    for position, item in enumerate(value):
        body = _render(item, depth + 1, with_questions and position == 0)
        body[0] = pad + body[0]
        if position < len(value) - 1:
            body[-1] += ","
        lines += body
    return [*lines, INDENT * depth + "]"]


def _comment(text: str, pad: str) -> list[str]:
    return [f"{pad}// {line}" for line in textwrap.wrap(text, WIDTH - len(pad) - 3)]


def _scalar(value: Any) -> str:
    if isinstance(value, Enum):
        value = value.value
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    return json.dumps(value, ensure_ascii=False)
