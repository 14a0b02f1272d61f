"""Helpers for the platform's two TOML files."""

import tomllib
from typing import Any

from ..settings import Fault, FaultCode, SettingsError


def parse_toml(text: str, path: str = "") -> dict[str, Any]:
    """Returns the table in ``text``; raises `SettingsError` if it is not TOML.

    ``path`` is the name of the file in error messages.
    """
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        fault = Fault("", FaultCode.UNREADABLE_FILE, f"is not TOML: {exc}")
        raise SettingsError([fault], path) from exc
