"""Checks addresses and numbers that others wrote as text."""

from ipaddress import AddressValueError, IPv4Address

MAX_PORT = 65535
# Numbers with more digits are neither positions nor counts.
MAX_DIGITS = 18


def is_count(text: str) -> bool:
    """Returns whether a text is a whole number in decimal digits."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS


def is_port(text: str) -> bool:
    """Returns whether a text is a valid port number."""
    return is_count(text) and 0 < int(text) <= MAX_PORT


def is_ip_address(text: str) -> bool:
    """Returns whether a text is an IPv4 address."""
    try:
        IPv4Address(text)
    except AddressValueError:
        return False
    return True


def is_socket_address(text: str) -> bool:
    """Returns whether a text is an IPv4 address and a port, separated by a colon.

    is_socket_address("10.1.0.7:8161")  # True
    """
    host, _, port = text.rpartition(":")
    return is_ip_address(host) and is_port(port)
