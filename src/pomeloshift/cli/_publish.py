"""Publishes a questionnaire and waits until it is in force everywhere."""

import sys

from ..admin import PublishAnswer, PublishRequest, StatusView
from ._admin_client import AdminClient
from ._connect import EXIT_FAILURE

POLL_INTERVAL_S = 0.2


async def publish(
    client: AdminClient, text: str, base: int, note: str, wait_s: float
) -> int:
    """Publishes the text of a questionnaire.

    Returns the exit code: 0 once it is in force on all instances, or 1 if it is not
    within ``wait_s`` seconds.
    """
    req = PublishRequest(base, text, note)
    started = client.seconds()
    published = await client.call("POST", "/configuration", PublishAnswer, req)
    print(f"version {published.version} accepted")
    lacking = await _wait(client, published.version, started + wait_s)
    elapsed_s = client.seconds() - started
    if not lacking:
        print(
            f"version {published.version} in force everywhere after {elapsed_s:.1f} s"
        )
        return 0
    print(
        f"after {elapsed_s:.1f} s not in force on: {', '.join(lacking)}",
        file=sys.stderr,
    )
    return EXIT_FAILURE


async def _wait(client: AdminClient, version: int, until: float) -> tuple[str, ...]:
    while True:
        status = await client.call("GET", "/status", StatusView)
        if status.version >= version and not status.lacking:
            return ()
        if client.seconds() >= until:
            return status.lacking or ("the entry itself",)
        await client.sleep(POLL_INTERVAL_S)
