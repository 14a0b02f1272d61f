"""Runs commands that call an entry's administration API."""

from __future__ import annotations

import os
import sys
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from ..errors import PomeloshiftError

if TYPE_CHECKING:
    from ._admin_client import AdminClient

ENTRY_VARIABLE = "POMELOSHIFT_ENTRY"
TOKEN_VARIABLE = "POMELOSHIFT_TOKEN"
DEFAULT_ENTRY = "http://127.0.0.1:8080"
EXIT_FAILURE = 1

Command = Callable[["AdminClient"], Awaitable[int]]


def run_command(command: Command, entry: str, token: str) -> None:
    """Runs a command with a client and exits the process with the command's code.

    An empty ``entry`` (URL) or ``token`` is taken from the environment variable
    ``POMELOSHIFT_ENTRY`` or ``POMELOSHIFT_TOKEN``.
    """
    from ..net import install_reactor

    # The client's libraries import the reactor, so it has to be installed before them.
    install_reactor()
    from ._admin_client import AdminClient

    entry = entry or os.environ.get(ENTRY_VARIABLE, DEFAULT_ENTRY)
    token = token or os.environ.get(TOKEN_VARIABLE, "")

    async def main(reactor: object) -> None:
        code = await run_and_print_errors(command, AdminClient(entry, token, reactor))
        if code:
            raise SystemExit(code)

    from twisted.internet.task import react

    react(main)


async def run_and_print_errors(command: Command, client: AdminClient) -> int:
    """Returns the command's exit code; prints errors to standard error."""
    from ._admin_client import AdminResponseError

    try:
        return await command(client)
    except AdminResponseError as exc:
        print(f"error {exc.code.value}: {exc.message}", file=sys.stderr)
        for fault in exc.body.get("faults", ()):
            path, remedy = fault["path"], fault["remedy"]
            line = f"  line {fault['line']}: {path}: {fault['message']}"
            print(f"{line}; {remedy} [{fault['code']}]", file=sys.stderr)
        if "current_version" in exc.body:
            version = exc.body["current_version"]
            print(f"  the version in force is {version}", file=sys.stderr)
    except PomeloshiftError as exc:
        print(f"error {exc.code.value}: {exc.message}", file=sys.stderr)
    return EXIT_FAILURE
