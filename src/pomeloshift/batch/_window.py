"""Parses completion windows such as ``24h``."""

from ._errors import InvalidJobError

SECONDS_BY_UNIT = {"s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}


def window_seconds(window: str) -> float:
    """Returns the length of a completion window in seconds.

    The window is a positive integer with one of the units ``s``, ``m``, ``h``, ``d``.
    Raises `InvalidJobError`.
    """
    amount, unit = window[:-1], window[-1:]
    if unit not in SECONDS_BY_UNIT or not amount.isdecimal() or int(amount) == 0:
        raise InvalidJobError(f"completion_window {window!r} is not of the form '24h'")
    return int(amount) * SECONDS_BY_UNIT[unit]
