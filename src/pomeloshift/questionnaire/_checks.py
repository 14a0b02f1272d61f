"""Checks that concern several answers of a questionnaire."""

from collections.abc import Iterator
from typing import Any

from ..settings import Fault, FaultCode

UNIQUE_NAMES = (
    ("regions", "name"),
    ("services", "name"),
    ("applications", "name"),
    ("workspaces", "name"),
    ("operators", "name"),
)


def check_answers(data: Any) -> list[Fault]:
    """Returns the faults that concern several answers.

    These are duplicates, references to unknown names and contradictions. ``data`` is
    the decoded JSON of a questionnaire. Parts of the wrong type are skipped, because
    `structure` reports them.
    """
    if not isinstance(data, dict):
        return []
    faults: list[Fault] = []
    for part, key in UNIQUE_NAMES:
        faults += _find_duplicates(_values(data, part, key))
    faults += _find_duplicates(_nested(data, "regions", "availability_zones", None))
    faults += _find_duplicates(_nested(data, "services", "backend_servers", "name"))
    faults += _find_duplicates(_key_ids(data))
    faults += _find_unknown(
        _values(data, "applications", "service"),
        {value for _, value in _values(data, "services", "name")},
        "service",
    )
    faults += _find_unknown(
        _nested(data, "workspaces", "applications", None),
        {value for _, value in _values(data, "applications", "name")},
        "application",
    )
    faults += _check_times(data)
    faults += _check_link(data)
    faults += _check_unused_services(data)
    return faults


LocatedValues = Iterator[tuple[str, str]]


def _items(data: dict[str, Any], part: str) -> Iterator[tuple[str, dict[str, Any]]]:
    items = data.get(part)
    if not isinstance(items, list):
        return
    for index, item in enumerate(items):
        if isinstance(item, dict):
            yield f"{part}[{index}]", item


def _values(data: dict[str, Any], part: str, key: str) -> LocatedValues:
    for path, item in _items(data, part):
        if isinstance(item.get(key), str):
            yield f"{path}.{key}", item[key]


def _nested(
    data: dict[str, Any], part: str, inner: str, key: str | None
) -> LocatedValues:
    for path, item in _items(data, part):
        if key is not None:
            for inner_path, value in _values(item, inner, key):
                yield f"{path}.{inner_path}", value
            continue
        values = item.get(inner)
        for index, value in enumerate(values if isinstance(values, list) else []):
            if isinstance(value, str):
                yield f"{path}.{inner}[{index}]", value


def _key_ids(data: dict[str, Any]) -> LocatedValues:
    yield from _nested(data, "workspaces", "keys", "key_id")
    for path, item in _items(data, "operators"):
        key = item.get("key")
        if isinstance(key, dict) and isinstance(key.get("key_id"), str):
            yield f"{path}.key.key_id", key["key_id"]


def _find_duplicates(values: LocatedValues) -> list[Fault]:
    first_paths: dict[str, str] = {}
    faults = []
    for path, value in values:
        first = first_paths.setdefault(value, path)
        if first != path:
            message = f"{value!r} is already used by {first}"
            remedy = "give each its own name"
            faults.append(Fault(path, FaultCode.DUPLICATE, message, remedy))
    return faults


def _find_unknown(values: LocatedValues, known: set[str], noun: str) -> list[Fault]:
    faults = []
    for path, value in values:
        if value not in known:
            message = f"there is no {noun} {value!r}"
            names = ", ".join(sorted(known)) or "none yet"
            remedy = f"use one of: {names}"
            faults.append(Fault(path, FaultCode.UNKNOWN_REFERENCE, message, remedy))
    return faults


def _check_times(data: dict[str, Any]) -> list[Fault]:
    faults = []
    for path, item in _items(data, "applications"):
        first, last = item.get("first_reply_s", 0.7), item.get("give_up_s", 30.0)
        if _is_number(first) and _is_number(last) and last <= first:
            message = f"{last} is not later than first_reply_s, {first}"
            remedy = "give a longer time, or shorten first_reply_s"
            fault = Fault(f"{path}.give_up_s", FaultCode.INCONSISTENT, message, remedy)
            faults.append(fault)
    return faults


def _check_link(data: dict[str, Any]) -> list[Fault]:
    link = data.get("link")
    if not isinstance(link, dict):
        return []
    online, batch = link.get("online_percent", 50.0), link.get("batch_percent", 0.0)
    if not _is_number(online) or not _is_number(batch) or online + batch <= 100:
        return []
    message = f"the sum of {online} online and {batch} batch percent is above 100"
    remedy = "lower one, so that both together are at most 100"
    return [Fault("link.batch_percent", FaultCode.INCONSISTENT, message, remedy)]


def _check_unused_services(data: dict[str, Any]) -> list[Fault]:
    used = {value for _, value in _values(data, "applications", "service")}
    faults = []
    for path, name in _values(data, "services", "name"):
        if name not in used:
            message = f"no application uses the service {name!r}"
            remedy = "add an application for it, or remove the service"
            faults.append(Fault(path, FaultCode.INCONSISTENT, message, remedy))
    return faults


def _is_number(value: Any) -> bool:
    return type(value) in (int, float)
