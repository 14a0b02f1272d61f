"""What the platform's two TOML files share."""

import tomllib
from typing import Any

from ..settings import Fault, FaultCode, SettingsError


def parse_toml(text: str, path: str = "") -> dict[str, Any]:
    """Returns the table in ``text``; raises `SettingsError` where it is no TOML.

    ``path`` is the file's name in messages.
    """
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        fault = Fault("", FaultCode.UNREADABLE_FILE, f"is not TOML: {exc}")
        raise SettingsError([fault], path) from exc


def is_port(text: str) -> bool:
    """Whether a text is the number of a port."""
    return text.isdigit() and 0 < int(text) < 65536
