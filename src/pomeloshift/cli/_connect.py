"""Runs a command that talks to an entry."""

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
    """Runs a command with a client and ends the process with its exit code.

    Without arguments the entry's URL and the token come from the environment
    variables ``POMELOSHIFT_ENTRY`` and ``POMELOSHIFT_TOKEN``.
    """
    from ..net import install_reactor

    # The client's libraries import the reactor, so that it has to be installed first.
    install_reactor()
    from ._admin_client import AdminClient

    entry = entry or os.environ.get(ENTRY_VARIABLE, DEFAULT_ENTRY)
    token = token or os.environ.get(TOKEN_VARIABLE, "")

    async def main(reactor: object) -> None:
        code = await run_safely(command, AdminClient(entry, token, reactor))
        if code:
            raise SystemExit(code)

    from twisted.internet.task import react

    react(main)


async def run_safely(command: Command, client: AdminClient) -> int:
    """Returns the command's exit code; prints failures for a person."""
    from ._admin_client import AdminRefusedError

    try:
        return await command(client)
    except AdminRefusedError as exc:
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
