"""The configuration service of an entry."""

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from loguru import logger
from twisted.internet.defer import Deferred, ensureDeferred

from ...config import (
    ConfigHolder,
    ConfigPublished,
    ConfigState,
    Configuration,
    decode_configuration,
    encode_configuration,
    reduce_for,
)
from ...errors import PomeloshiftError
from ...log import LogStore
from ...model import Instance, InstanceRole, InstanceState
from ...net import Clock
from ...wire import ConfigDocument
from ._checkpoint_writer import CheckpointWriter
from ._entry_choice import choose_entry
from ._publisher import Publisher
from ._puller import Pull, Puller
from ._stream import ConfigStream
from ._timing import ConfigTiming


class ConfigService:
    """Follows the configuration stream, applies newer versions and publishes.

        service = ConfigService(name, log, clock, reactor, rng, region, entries)
        service.on_change(apply)
        service.start()
        version = await service.publish(cfg, base_version=service.version, author="a")

    ``entries`` returns the entries of the instance list. One live entry of each
    region reads the stream often. The others learn of changes from pushes (`offer`)
    and from the versions in peers' heartbeats (`observe_version`), which they fetch
    with ``pull``; they also read the stream themselves, less often.
    """

    def __init__(
        self,
        name: str,
        log: LogStore,
        clock: Clock,
        reactor: Any,
        rng: Random,
        region: str,
        entries: Callable[[], Sequence[Instance]],
        *,
        pull: Pull | None = None,
        timing: ConfigTiming | None = None,
    ) -> None:
        timing = timing or ConfigTiming()
        self._name = name
        self._clock = clock
        self._reactor = reactor
        self._rng = rng
        self._region = region
        self._entries = entries
        self._timing = timing
        self._holder = ConfigHolder()
        self._stream = ConfigStream(log)
        self._puller = Puller(name, self._holder, pull, self.offer, self.refresh, rng)
        self._checkpoint_writer = CheckpointWriter(
            name, self._stream, self._holder, rng, timing
        )
        self._publisher = Publisher(
            self._stream, clock, self._sleep, timing.publish_limit_s
        )
        self._callbacks: list[Callable[[Configuration, int], None]] = []
        self._poll_call: Any = None
        self._is_running = False
        self._backoff_s = 0.0

    @property
    def current(self) -> Configuration | None:
        """The configuration applied here, or `None` before there is one."""
        return self._holder.current

    @property
    def version(self) -> int:
        """The version applied here; 0 before there is one."""
        return self._holder.version

    @property
    def state(self) -> ConfigState:
        """The state replayed from the stream, with history and outcomes."""
        return self._stream.state

    def document(self) -> ConfigDocument:
        """Returns the configuration applied here in the form sent to peers."""
        return ConfigDocument(self._holder.version, self._holder.document)

    def document_for(self, service: str, instance: str) -> ConfigDocument:
        """Returns the part of the configuration that one backend server needs."""
        cfg = self._holder.current
        if cfg is None:
            return self.document()
        reduced = encode_configuration(reduce_for(cfg, service, instance))
        return ConfigDocument(self._holder.version, reduced)

    def on_change(self, callback: Callable[[Configuration, int], None]) -> None:
        """Registers a callback for each configuration and version applied later."""
        self._callbacks.append(callback)

    def offer(self, document: ConfigDocument) -> bool:
        """Applies a configuration if it is newer; returns whether it was applied.

        Returns `False` for a document that cannot be decoded.
        """
        try:
            changed = self._holder.offer(document.version, document.document)
        except PomeloshiftError as exc:
            logger.error("event=config_unreadable version={}", document.version)
            logger.debug("event=config_unreadable cause={!r}", exc.message)
            return False
        if changed:
            self._run_callbacks()
        return changed

    def observe_version(self, peer: str, version: int) -> None:
        """Records the version that a peer reported; fetches it if it is newer."""
        if self._holder.observe(peer, version):
            self._puller.fetch()

    def start(self) -> None:
        """Starts to follow the stream."""
        self._is_running = True
        self._schedule(0.0)

    def stop(self) -> None:
        """Stops following the stream."""
        self._is_running = False
        if self._poll_call is not None and self._poll_call.active():
            self._poll_call.cancel()

    async def publish(
        self,
        cfg: Configuration | bytes,
        base_version: int,
        author: str,
        note: str = "",
    ) -> int:
        """Publishes a configuration and returns its version.

        Raises `ConfigDocumentError` for bytes that are not a configuration,
        `ConfigConflictError` if ``base_version`` is not in force any more, and
        `ConfigOutcomeUnknownError` if the log did not confirm in time.
        """
        document = cfg if isinstance(cfg, bytes) else encode_configuration(cfg)
        decode_configuration(document)
        record_id = f"{self._name}-{self._rng.getrandbits(64):016x}"
        now = self._clock.wall()
        body = ConfigPublished(base_version, document, author, note, now)
        try:
            version = await self._publisher.publish(body, record_id)
        finally:
            self._apply_state()
        logger.info("event=config_published version={} author={}", version, author)
        return version

    async def refresh(self) -> None:
        """Reads the stream to its end and applies its version; raises log errors."""
        await self._stream.catch_up()
        self._apply_state()

    def _apply_state(self) -> None:
        entry = self._stream.state.current
        if entry is not None:
            self.offer(ConfigDocument(entry.version, entry.document))

    def _run_callbacks(self) -> None:
        cfg = self._holder.current
        if cfg is None:
            return
        logger.info("event=config_applied version={}", self._holder.version)
        for callback in list(self._callbacks):
            callback(cfg, self._holder.version)

    def _schedule(self, delay_s: float) -> None:
        if self._is_running:
            self._poll_call = self._reactor.callLater(delay_s, self._start_poll)

    def _start_poll(self) -> None:
        ensureDeferred(self._poll())

    async def _poll(self) -> None:
        try:
            await self.refresh()
            self._backoff_s = 0.0
            await self._checkpoint_writer.append_due(
                self._clock.monotonic(), self._is_checkpoint_writer()
            )
        except PomeloshiftError as exc:
            logger.warning("event=config_poll_failed code={}", exc.code.value)
            self._backoff_s = min(
                max(2 * self._backoff_s, self._timing.poll_s),
                self._timing.max_backoff_s,
            )
            if self.version == 0:
                await self._puller.ask_any(self._live_names(None))
        except Exception:
            logger.exception("event=config_poll_failed")
        finally:
            self._schedule(self._next_delay())

    def _next_delay(self) -> float:
        interval = self._timing.poll_s
        if self.version and not self._is_reader():
            interval = self._timing.follower_poll_s
        interval = max(interval, self._backoff_s)
        return interval * (0.75 + 0.5 * self._rng.random())

    def _is_reader(self) -> bool:
        names = self._live_names(self._region)
        return choose_entry(f"config/{self._region}", names) in (None, self._name)

    def _is_checkpoint_writer(self) -> bool:
        names = self._live_names(None)
        return choose_entry("config-checkpoint", names) in (None, self._name)

    def _live_names(self, region: str | None) -> list[str]:
        return [
            entry.name
            for entry in self._entries()
            if entry.role is InstanceRole.ENTRY
            and entry.state is InstanceState.LIVE
            and region in (None, entry.place.region)
        ]

    async def _sleep(self, seconds: float) -> None:
        fired: Deferred[None] = Deferred()
        self._reactor.callLater(seconds, fired.callback, None)
        await fired
