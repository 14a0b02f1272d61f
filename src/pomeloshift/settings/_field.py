"""Declares settings with help texts for operators."""

from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import urlsplit

import attrs
from attrs import validators as v

MAX_PORT = 65535


def setting(
    help: str,  # noqa: A002
    *,
    default: Any = attrs.NOTHING,
    validator: Callable[..., Any] | Sequence[Callable[..., Any]] | None = None,
) -> Any:
    """Returns an attrs field with a help text.

    ``help`` is shown with the faults of the field, in the reference of the settings
    and as the question of a questionnaire.

    Example: ``port: int = setting("port to listen on", default=8080)``.
    """
    return attrs.field(default=default, validator=validator, metadata={"help": help})


def url_setting(help: str, *, default: Any = attrs.NOTHING) -> Any:  # noqa: A002
    """Returns a field that holds an ``http`` or ``https`` URL."""
    return setting(help, default=default, validator=is_url)


def port_setting(help: str, *, default: Any = attrs.NOTHING) -> Any:  # noqa: A002
    """Returns a field that holds a TCP port; 0 lets the system choose."""
    return setting(help, default=default, validator=[v.ge(0), v.le(MAX_PORT)])


def is_url(_: Any, attribute: Any, value: str) -> None:
    """Raises `ValueError` for anything but an HTTP or HTTPS URL with a host."""
    try:
        parts = urlsplit(value)
        valid = parts.scheme in ("http", "https") and bool(parts.hostname)
    except ValueError:
        valid = False
    if not valid:
        raise ValueError(f"'{attribute.name}' must be a URL such as http://host:port")
