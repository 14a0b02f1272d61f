"""Converts plain data to attrs classes and collects every fault in it."""

import difflib
import math
import types
import typing
from collections.abc import Callable
from enum import Enum
from typing import Any, TypeVar, Union, get_args, get_origin

import attrs
from cattrs import Converter

from ._fault import Fault, FaultCode

T = TypeVar("T")

TYPE_NAMES = {str: "a string", int: "a whole number", bool: "true or false"}


class FaultsFound(Exception):  # noqa: N818
    """Passes the faults of a value to the hook of the value that contains it."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__(f"{len(faults)} faults")
        self.faults = faults


def structure(data: Any, cls: type[T]) -> tuple[T | None, list[Fault]]:
    """Returns the value of type ``cls``, or `None` with all faults of ``data``.

    Unknown keys, missing keys, wrong types and values that a validator rejects are
    faults. Strings are not converted: ``"5"`` is not a whole number.
    """
    try:
        return _converter.structure(data, cls), []
    except FaultsFound as exc:
        return None, exc.faults


def structure_field(cls: type, name: str, raw: Any) -> tuple[Any, list[Fault]]:
    """Returns the value of one field of ``cls``, or `None` with its faults.

    Example: ``structure_field(EntrySettings, "port", 8080)`` is ``(8080, [])``.
    """
    field = getattr(attrs.fields(cls), name)
    try:
        return _field_value(field, typing.get_type_hints(cls), raw), []
    except FaultsFound as exc:
        return None, exc.faults


def _prefixed(prefix: str, faults: list[Fault]) -> list[Fault]:
    return [attrs.evolve(f, path=_join(prefix, f.path)) for f in faults]


def _join(prefix: str, path: str) -> str:
    if not path or path.startswith("["):
        return prefix + path
    return f"{prefix}.{path}"


def _wrong_type(value: Any, expected: str) -> FaultsFound:
    message = f"{_describe(value)} is not {expected}"
    return FaultsFound([Fault("", FaultCode.WRONG_TYPE, message, f"give {expected}")])


def _describe(value: Any) -> str:
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "a list"
    if value is None:
        return "null"
    if isinstance(value, bool):
        return str(value).lower()
    return repr(value)


def _structure_exact(value: Any, cls: type) -> Any:
    if type(value) is not cls:
        raise _wrong_type(value, TYPE_NAMES[cls])
    return value


def _structure_float(value: Any, _: type) -> float:
    if type(value) not in (int, float):
        raise _wrong_type(value, "a number")
    try:
        number = float(value)
    except OverflowError:
        number = math.inf
    if not math.isfinite(number):
        message = "is too large for a floating-point number"
        fault = Fault("", FaultCode.OUT_OF_RANGE, message, "give a smaller number")
        raise FaultsFound([fault])
    return number


def _structure_enum(value: Any, cls: type[Enum]) -> Enum:
    for member in cls:
        if member.value == value:
            return member
    raise _wrong_type(value, "one of " + ", ".join(str(m.value) for m in cls))


def _is_sequence(cls: Any) -> bool:
    return get_origin(cls) in (tuple, list)


def _sequence_hook(cls: Any) -> Callable[[Any, Any], Any]:
    item_type = get_args(cls)[0]
    factory = get_origin(cls)

    def hook(value: Any, _: Any) -> Any:
        if not isinstance(value, list):
            raise _wrong_type(value, "a list")
        faults: list[Fault] = []
        items = []
        for index, item in enumerate(value):
            try:
                items.append(_converter.structure(item, item_type))
            except FaultsFound as exc:
                faults += _prefixed(f"[{index}]", exc.faults)
        if faults:
            raise FaultsFound(faults)
        return factory(items)

    return hook


def _is_mapping(cls: Any) -> bool:
    return get_origin(cls) is dict


def _mapping_hook(cls: Any) -> Callable[[Any, Any], Any]:
    value_type = get_args(cls)[1]

    def hook(value: Any, _: Any) -> Any:
        if not isinstance(value, dict):
            raise _wrong_type(value, "an object")
        faults: list[Fault] = []
        entries = {}
        for key, item in value.items():
            try:
                entries[key] = _converter.structure(item, value_type)
            except FaultsFound as exc:
                faults += _prefixed(key, exc.faults)
        if faults:
            raise FaultsFound(faults)
        return entries

    return hook


def _is_optional(cls: Any) -> bool:
    is_union = get_origin(cls) in (Union, types.UnionType)
    return is_union and type(None) in get_args(cls)


def _optional_hook(cls: Any) -> Callable[[Any, Any], Any]:
    (inner,) = (arg for arg in get_args(cls) if arg is not type(None))

    def hook(value: Any, _: Any) -> Any:
        return None if value is None else _converter.structure(value, inner)

    return hook


def _attrs_hook(cls: Any) -> Callable[[Any, Any], Any]:
    hints = typing.get_type_hints(cls)
    fields = {field.alias: field for field in attrs.fields(cls) if field.init}

    def hook(value: Any, _: Any) -> Any:
        if not isinstance(value, dict):
            raise _wrong_type(value, "an object")
        faults = _unknown_keys(value, list(fields))
        arguments: dict[str, Any] = {}
        for key, field in fields.items():
            try:
                if key in value:
                    arguments[key] = _field_value(field, hints, value[key])
                elif field.default is attrs.NOTHING:
                    raise FaultsFound([_missing(field)])
            except FaultsFound as exc:
                faults += _prefixed(key, exc.faults)
        if faults:
            raise FaultsFound(faults)
        return _build(cls, arguments)

    return hook


def _field_value(field: Any, hints: dict[str, Any], raw: Any) -> Any:
    value = _converter.structure(raw, hints[field.name])
    if field.validator is not None:
        try:
            field.validator(None, field, value)
        except (ValueError, TypeError) as exc:
            message = f"{_describe(raw)} is refused: {exc.args[0]}"
            remedy = field.metadata.get("help", "")
            fault = Fault("", FaultCode.OUT_OF_RANGE, message, remedy)
            raise FaultsFound([fault]) from exc
    return value


def _build(cls: Any, arguments: dict[str, Any]) -> Any:
    try:
        return cls(**arguments)
    except ValueError as exc:
        fault = Fault("", FaultCode.INCONSISTENT, str(exc))
        raise FaultsFound([fault]) from exc


def _missing(field: Any) -> Fault:
    remedy = field.metadata.get("help", "add this key")
    return Fault("", FaultCode.MISSING_KEY, "is missing", remedy)


def _unknown_keys(value: dict[str, Any], known: list[str]) -> list[Fault]:
    faults = []
    for key in value:
        if key not in known:
            close = difflib.get_close_matches(key, known, 1)
            remedy = f"did you mean {close[0]}?" if close else "remove it"
            message = "is not a known key"
            faults.append(Fault(key, FaultCode.UNKNOWN_KEY, message, remedy))
    return faults


def _make_converter() -> Converter:
    converter = Converter(detailed_validation=False)
    for cls in (str, int, bool):
        converter.register_structure_hook(cls, _structure_exact)
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook_func(
        lambda cls: isinstance(cls, type) and issubclass(cls, Enum), _structure_enum
    )
    converter.register_structure_hook_factory(_is_sequence, _sequence_hook)
    converter.register_structure_hook_factory(_is_mapping, _mapping_hook)
    converter.register_structure_hook_factory(_is_optional, _optional_hook)
    converter.register_structure_hook_factory(attrs.has, _attrs_hook)
    return converter


_converter = _make_converter()
