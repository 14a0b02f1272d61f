"""Installs the reactor that every process of the system runs on."""

import asyncio
from typing import Any


def install_reactor() -> Any:
    """Installs the asyncio reactor, unless it is there already, and returns it.

    pynng and aioprometheus need an asyncio event loop; this has to run before
    anything imports ``twisted.internet.reactor``.
    """
    import sys

    if "twisted.internet.reactor" not in sys.modules:
        from twisted.internet import asyncioreactor

        asyncioreactor.install(asyncio.new_event_loop())
    from twisted.internet import reactor

    return reactor
