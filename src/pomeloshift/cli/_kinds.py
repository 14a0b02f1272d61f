"""The kinds of settings files, and the classes that they are parsed to."""

from importlib import import_module
from typing import Any

import attrs

from ..errors import ErrorCode, PomeloshiftError, Ran

QUESTIONNAIRE = "questionnaire"

_classes_by_kind = {
    QUESTIONNAIRE: ("questionnaire", "Answers"),
    "entry": ("settings", "EntrySettings"),
    "sidecar": ("settings", "SidecarSettings"),
    "engine": ("standins.engine", "EngineSettings"),
    "log": ("standins.log", "LogSettings"),
    "list": ("standins.livelist", "ListSettings"),
    "weights": ("standins.weights", "WeightsSettings"),
    "service": ("standins.service", "ServiceSettings"),
}
KINDS = tuple(_classes_by_kind)


class UnknownKindError(PomeloshiftError):
    """No kind of file has this name."""

    code = ErrorCode.INVALID_REQUEST
    ran = Ran.NO


def class_of(kind: str) -> type:
    """Returns the attrs class of a kind; raises `UnknownKindError`."""
    if kind not in _classes_by_kind:
        raise UnknownKindError(f"{kind!r} is none of {', '.join(KINDS)}")
    module, name = _classes_by_kind[kind]
    package = __package__.rpartition(".")[0]
    return getattr(import_module(f"{package}.{module}"), name)


def guess_kind(data: Any) -> str:
    """Returns the kind whose keys match the decoded file best."""
    keys = set(data) if isinstance(data, dict) else set()
    return max(KINDS, key=lambda kind: _score(kind, keys))


def _score(kind: str, keys: set[str]) -> tuple[int, int]:
    fields = attrs.fields(class_of(kind))
    known = {field.alias for field in fields}
    required = {field.alias for field in fields if field.default is attrs.NOTHING}
    return len(keys & known) - len(keys - known), -len(required - keys)
