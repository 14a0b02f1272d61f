"""The command that prints every fault of a file."""

import sys
from collections.abc import Callable
from typing import Any

from ..questionnaire import Answers, parse_answers
from ..settings import (
    EntrySettings,
    SettingsError,
    SidecarSettings,
    parse_json,
    parse_settings,
    read_text,
)

EXIT_FAULTS = 2


def check(file: str, kind: str = "") -> int:
    """Prints every fault of a settings or questionnaire file.

    Args:
        file: The file to check.
        kind: What the file is: questionnaire, entry, sidecar, engine, log, list,
            weights or service. Without it the kind is told from the file's keys.

    Returns 0 without faults and 2 with faults.
    """
    try:
        text = read_text(file)
        kind = kind or guess_kind(parse_json(text, file))
        _reader(kind)(text, file)
    except SettingsError as exc:
        for fault in exc.faults:
            print(fault.describe(file), file=sys.stderr)
        print(f"{file}: {len(exc.faults)} faults", file=sys.stderr)
        return EXIT_FAULTS
    print(f"{file}: a valid {kind} file")
    return 0


def guess_kind(data: Any) -> str:
    """Tells from a file's keys what kind of file it is."""
    keys = set(data) if isinstance(data, dict) else set()
    if keys & {"deployment", "applications", "regions", "workspaces"}:
        return "questionnaire"
    if keys & {"engines", "service", "lease_s"}:
        return "sidecar"
    return "entry"


def _reader(kind: str) -> Callable[[str, str], Any]:
    if kind == "questionnaire":
        return parse_answers
    cls = _settings_class(kind)
    return lambda text, file: parse_settings(text, cls, file)


def _settings_class(kind: str) -> type:
    if kind == "entry":
        return EntrySettings
    if kind == "sidecar":
        return SidecarSettings
    if kind == "questionnaire":
        return Answers
    return _stand_in_class(kind)
