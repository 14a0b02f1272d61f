"""Runs one role as a process until a signal stops it."""

import signal
from collections.abc import Callable
from typing import Any, Protocol, TextIO, runtime_checkable

from loguru import logger

from ._logging import configure_logging
from ._periodic_tasks import spawn
from ._reactor import install_reactor


class Role(Protocol):
    """A role that can be started, drained and stopped."""

    async def start(self) -> None:
        """Opens the ports and starts to serve."""

    async def drain(self) -> None:
        """Accepts no new work and waits until the work under way has ended."""

    async def stop(self) -> None:
        """Closes all ports and connections."""


@runtime_checkable
class ReloadingRole(Protocol):
    """A role that can reload its settings file while it runs."""

    def reload(self) -> None:
        """Reads the settings file again and applies what changed."""


def run_process(
    make_role: Callable[[Any], Role],
    log_level: str,
    with_tls: bool = True,
    log_stream: TextIO | None = None,
    ends_on_second_signal: bool = True,
) -> int:
    """Runs the role that ``make_role`` builds and returns the exit code.

    ``make_role`` is called with the reactor. SIGTERM and SIGINT drain the role and
    end the process; a second signal ends it without waiting, unless
    ``ends_on_second_signal`` is false. SIGHUP makes a `ReloadingRole` reload.
    """
    configure_logging(log_level, log_stream)
    reactor = install_reactor(with_tls)
    runner = _Runner(reactor, make_role, ends_on_second_signal)
    reactor.callWhenRunning(runner.start)
    reactor.run()
    return runner.exit_code


class _Runner:
    def __init__(
        self,
        reactor: Any,
        make_role: Callable[[Any], Role],
        ends_on_second_signal: bool,
    ) -> None:
        self._ends_on_second_signal = ends_on_second_signal
        self._reactor = reactor
        self._make_role = make_role
        self._role: Role | None = None
        self._stopping = False
        self.exit_code = 0

    def start(self) -> None:
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        signal.signal(signal.SIGHUP, self._on_reload_signal)
        spawn(self._start())

    async def _start(self) -> None:
        try:
            self._role = self._make_role(self._reactor)
            await self._role.start()
        except Exception as exc:
            logger.opt(exception=exc).error("event=start_failed")
            self.exit_code = 1
            self._reactor.stop()

    def _on_signal(self, signum: int, frame: Any) -> None:
        self._reactor.callFromThread(self._begin_stop)

    def _on_reload_signal(self, signum: int, frame: Any) -> None:
        self._reactor.callFromThread(self._reload)

    def _reload(self) -> None:
        if isinstance(self._role, ReloadingRole):
            self._role.reload()

    def _begin_stop(self) -> None:
        if self._stopping and not self._ends_on_second_signal:
            return
        if self._stopping or self._role is None:
            self._reactor.stop()
            return
        self._stopping = True
        spawn(self._stop(self._role))

    async def _stop(self, role: Role) -> None:
        try:
            await role.drain()
            await role.stop()
        finally:
            if self._reactor.running:
                self._reactor.stop()
