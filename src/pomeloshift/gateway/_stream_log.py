"""The software versions that began streams, shared through the store."""

import hashlib
from collections.abc import Awaitable, Callable, Collection
from enum import IntEnum
from typing import Any

import attrs
import msgspec
from twisted.internet.defer import Deferred

from ..dispatch import (
    Engine,
    Fleet,
    RouteKind,
    ServingConfig,
    SoftwareVersion,
    StreamVersions,
    stream_key,
)
from ..errors import PomeloshiftError
from ..jobs import Ownership
from ..net._periodic_tasks import PeriodicTasks, spawn
from ..platform import UNREADABLE, KeyedRecord, StoreClient
from ._events import EventLog
from ._log_writer import LogWriter
from ._timing import (
    MAX_STREAM_REMOVALS,
    MAX_STREAMS,
    MAX_STREAMS_A_RECORD,
    STREAM_KEPT_S,
    STREAM_KEPT_TIMEOUTS,
    STREAM_POLL_S,
    STREAM_READ_GAP_S,
    STREAM_TICK_S,
    VERSION_ANNOUNCED_S,
)
from ._topic_follower import TopicFollower, TopicHandlers

TOPIC = "keyed.streams"
PARTITION = 0
VERSION_DIGEST_BYTES = 16


class _State(IntEnum):
    """A version will be used, is used, or has no engine left."""

    ANNOUNCED = 0
    USED = 1
    LEFT = 2


class _Version(msgspec.Struct, tag="version", array_like=True):
    """The state of a version."""

    service: str
    version: str
    state: _State


class _Streams(msgspec.Struct, tag="streams", array_like=True):
    """Streams that began, by their keys, at versions of services."""

    begun: list[tuple[str, str, list[int]]]


_DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(_Version | _Streams)


async def _nothing_to_read() -> None:
    """The default of `StreamLog.refresh_list`."""


@attrs.define(eq=False)
class StreamLog:
    """Knows at which version a stream can be taken up.

    A version of a service is used once its record is in the store, or if no engine of a
    recorded version serves. So whoever has read the topic and the list of engines to
    their ends knows every version that may have begun a stream. While one
    version is in use, streams have no records. A second one is announced before it is
    used; from then on each gateway records the streams that it began, those in progress
    too. A stream without a record has begun at the only version that counts, or at an
    unknown one.
    """

    _store: StoreClient
    _writer: LogWriter
    _fleet: Fleet
    _ownership: Ownership
    _events: EventLog
    _reactor: Any
    _clock: Any
    # Whether the list of engines has been read and the store still delivers it.
    is_fleet_current: Callable[[], bool] = lambda: False
    # Reads the list of engines to its end, or raises an error of the store.
    refresh_list: Callable[[], Awaitable[None]] = _nothing_to_read
    _versions: StreamVersions = attrs.field(init=False)
    # The streams of this gateway without a record, with the time of their beginning.
    _unwritten: dict[SoftwareVersion, dict[int, float]] = attrs.field(
        factory=dict, init=False
    )
    _is_writing: bool = attrs.field(default=False, init=False)
    # Whether the records have been read once.
    _is_loaded: bool = attrs.field(default=False, init=False)
    # Since when versions are known that are not used yet.
    _new: dict[SoftwareVersion, float] = attrs.field(factory=dict, init=False)
    # The records of versions that are being written.
    _publishing: set[tuple[SoftwareVersion, _State]] = attrs.field(
        factory=set, init=False
    )
    # The versions in the list of engines at the last tick, and those added since.
    _listed: set[SoftwareVersion] = attrs.field(factory=set, init=False)
    # When stored records may be removed, by key, monotonic seconds; None for versions
    # that are in use.
    _stored: dict[str, float | None] = attrs.field(factory=dict, init=False)
    _version_keys: dict[str, SoftwareVersion] = attrs.field(factory=dict, init=False)
    # Those that wait for a read of the topic to its end.
    _readers: list[Deferred[bool]] = attrs.field(factory=list, init=False)
    _is_reading: bool = attrs.field(default=False, init=False)
    _follower: TopicFollower = attrs.field(init=False)

    @_versions.default
    def _new_versions(self) -> StreamVersions:
        return StreamVersions(STREAM_KEPT_S, MAX_STREAMS)

    @_follower.default
    def _new_follower(self) -> TopicFollower:
        return TopicFollower(
            TOPIC,
            PARTITION,
            self._store,
            self._reactor,
            self._clock,
            self._events,
            TopicHandlers(
                self._take_record,
                begin_snapshot=self._begin_snapshot,
                end_snapshot=self._end_snapshot,
            ),
            read_gap_s=STREAM_READ_GAP_S,
            poll_s=STREAM_POLL_S,
        )

    def start(self, tasks: PeriodicTasks) -> None:
        """Starts to follow the topic."""
        self._follower.start()
        tasks.repeat(self._tick, STREAM_TICK_S)

    def stop(self) -> None:
        """Stops following and writing."""
        self._follower.stop()
        self._writer.stop()

    @property
    def has_unwritten(self) -> bool:
        """Whether records are queued for the store."""
        return self._writer.has_unwritten

    @property
    def count(self) -> int:
        """The number of streams whose version is known."""
        return len(self._versions)

    def apply_config(self, config: ServingConfig) -> None:
        """Keeps streams as long as the routes' callers may take them up."""
        timeouts_s = [
            route.timeout_s
            for route in config.routes
            if route.kind is RouteKind.STREAMING
        ]
        kept_s = STREAM_KEPT_TIMEOUTS * max(timeouts_s, default=0.0)
        self._versions.kept_s = max(STREAM_KEPT_S, kept_s)

    def note_engine(self, software: SoftwareVersion) -> None:
        """Records the version of an engine in the list, if it is a new one."""
        self._listed.add(software)
        if not self._is_loaded or self._versions.is_in_use(software):
            return
        now = self._now()
        since = self._new.setdefault(software, now)
        counting = self._versions.counting({software.service}, now)
        is_first = not counting or software in counting
        if is_first or now - since >= VERSION_ANNOUNCED_S:
            self._publish_version(software, _State.USED)
        else:
            self._publish_version(software, _State.ANNOUNCED)

    def usable(self, engines: list[Engine]) -> list[Engine]:
        """Returns the engines of the versions that may be used.

        A version without a record would be unknown to others: it is used only if no
        engine of a recorded version serves.
        """
        versions = {engine.record.software for engine in engines}
        usable = {software for software in versions if self._may_use(software)}
        if self._is_loaded:
            for software in usable:
                if not self._versions.is_in_use(software):
                    self._publish_version(software, _State.USED)
        return [engine for engine in engines if engine.record.software in usable]

    def _may_use(self, software: SoftwareVersion) -> bool:
        if self._versions.is_in_use(software):
            return True
        # What an engine says beside its record is not known to all gateways.
        serving = {
            engine.record.software
            for engine in self._fleet.engines.values()
            if engine.record.service == software.service
            and not engine.record.is_draining
        }
        if not self._is_loaded:
            return serving <= {software}
        return not any(self._versions.is_in_use(one) for one in serving)

    def note_begun(self, request_id: str, software: SoftwareVersion) -> None:
        """Records at which version the stream of a request has begun."""
        key, now = stream_key(request_id), self._now()
        self._versions.put_stream(key, software, now)
        streams = self._unwritten.setdefault(software, {})
        streams[key] = now
        if len(streams) > MAX_STREAMS:
            del streams[next(iter(streams))]
        self._write_due()

    async def find(
        self, request_id: str, services: Collection[str]
    ) -> SoftwareVersion | None:
        """Returns the version that began a stream, None if it is not known.

        ``request_id`` is that of the request that brought the stream's first event, and
        ``services`` are those of its route. An unknown one is looked up in the store.
        """
        key = stream_key(request_id)
        found = self._versions.find(key, self._now())
        if found is None and await self._read_to_end():
            found = self._versions.find(key, self._now()) or self._only(services)
        return found

    def counting(self, services: Collection[str]) -> frozenset[SoftwareVersion]:
        """Returns the versions of services at which a stream may have begun."""
        usable = {
            software
            for software in self._listed
            if software.service in services and self._may_use(software)
        }
        return self._versions.counting(services, self._now()) | usable

    def _only(self, services: Collection[str]) -> SoftwareVersion | None:
        self._listed = {e.record.software for e in self._fleet.engines.values()}
        versions = self.counting(services)
        return next(iter(versions)) if len(versions) == 1 else None

    # Reading

    async def _read_to_end(self) -> bool:
        """Reads the topic to its end; returns False if the store does not respond.

        One read, begun after the calls, serves all calls that wait for it.
        """
        done: Deferred[bool] = Deferred()
        self._readers.append(done)
        if not self._is_reading:
            spawn(self._read_for_all())
        return await done

    async def _read_for_all(self) -> None:
        self._is_reading = True
        try:
            while self._readers:
                readers, self._readers = self._readers, []
                is_read = await self._catch_up()
                for done in readers:
                    done.callback(is_read)
        finally:
            self._is_reading = False

    async def _catch_up(self) -> bool:
        try:
            await self._follower.catch_up()
            await self.refresh_list()
        except PomeloshiftError as exc:
            self._events.info("streams_not_read", why=exc.message)
            return False
        return True

    def _begin_snapshot(self, records: list[KeyedRecord]) -> None:
        # The removals of these keys were among the records that were lost.
        for key in self._stored.keys() - {record.key for record in records}:
            self._forget(key)

    def _end_snapshot(self, end: int) -> None:
        self._is_loaded = True
        for software in list(self._listed):
            self.note_engine(software)

    def _take_record(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._forget(record.key)
            return
        try:
            wire = _DECODER.decode(record.value)
        except UNREADABLE as exc:
            self._events.warn("stream_record_ignored", key=record.key, why=exc)
            return
        now = self._now()
        self._stored[record.key] = now + self._versions.kept_s
        if isinstance(wire, _Version):
            self._take_version(record.key, wire)
            return
        for service, version, keys in wire.begun:
            software = SoftwareVersion(service, version)
            for key in keys:
                self._versions.put_stream(key, software, now)

    def _take_version(self, key: str, wire: _Version) -> None:
        if wire.state is not _State.ANNOUNCED:
            self._version_keys[key] = SoftwareVersion(wire.service, wire.version)
        if wire.state is _State.USED:
            self._stored[key] = None
        self._apply_version(wire)

    def _apply_version(self, wire: _Version) -> None:
        software = SoftwareVersion(wire.service, wire.version)
        was_in_use = self._versions.is_in_use(software)
        fields = {"service": wire.service, "version": wire.version}
        if wire.state is _State.ANNOUNCED:
            if self._versions.announce(software):
                self._write_due()
        elif wire.state is _State.LEFT:
            self._versions.end_version(software, self._now())
            if was_in_use:
                self._events.info("version_left", **fields)
        elif not was_in_use:
            self._new.pop(software, None)
            self._versions.put_version(software)
            self._events.info("version_added", **fields)
            self._write_due()

    def _forget(self, key: str) -> None:
        self._stored.pop(key, None)
        software = self._version_keys.pop(key, None)
        if software is not None:
            self._versions.drop_version(software)

    # Writing

    def _needs_record(self, software: SoftwareVersion) -> bool:
        """Whether a stream of this version could be taken for one of another."""
        if not self._follower.is_synced:
            return True
        return not self._versions.is_sole(software, self._now())

    def _write_due(self) -> None:
        if not self._is_writing and any(map(self._needs_record, self._unwritten)):
            spawn(self._write_streams())

    async def _write_streams(self) -> None:
        self._is_writing = True
        try:
            while begun := self._take_unwritten():
                value = msgspec.msgpack.encode(_Streams(begun))
                record = (self._writer.new_key("streams"), value)
                try:
                    await self._writer.append([record]).done
                except PomeloshiftError as exc:
                    self._events.warn("streams_not_recorded", why=exc.message)
        finally:
            self._is_writing = False

    def _take_unwritten(self) -> list[tuple[str, str, list[int]]]:
        begun = []
        room = MAX_STREAMS_A_RECORD
        for software in filter(self._needs_record, list(self._unwritten)):
            streams = self._unwritten[software]
            keys = list(streams)[:room]
            if not keys:
                break
            room -= len(keys)
            for key in keys:
                del streams[key]
            if not streams:
                del self._unwritten[software]
            begun.append((software.service, software.version, keys))
        return begun

    def _publish_version(self, software: SoftwareVersion, state: _State) -> None:
        if (software, state) in self._publishing:
            return
        if state is _State.ANNOUNCED and software in self._versions.unfinished():
            return
        self._publishing.add((software, state))
        name = f"{software.service}\0{software.version}".encode()
        digest = hashlib.blake2b(name, digest_size=VERSION_DIGEST_BYTES).hexdigest()
        wire = _Version(software.service, software.version, state)
        # A late announcement must not take the place of the record that follows it.
        prefix = "announced" if state is _State.ANNOUNCED else "version"
        record = (f"{prefix}/{digest}", msgspec.msgpack.encode(wire))
        done: Deferred[Any] = self._writer.append([record]).done
        # The record counts here before it is read back.
        done.addCallback(lambda _: self._apply_version(wire))
        done.addErrback(self._note_version_not_recorded, software)
        done.addBoth(lambda _: self._publishing.discard((software, state)))

    def _note_version_not_recorded(
        self, failure: Any, software: SoftwareVersion
    ) -> None:
        failure.trap(PomeloshiftError)
        self._events.warn(
            "version_not_recorded",
            service=software.service,
            version=software.version,
            why=failure.value.message,
        )

    # Ageing

    def _tick(self) -> None:
        now = self._now()
        self._versions.expire(now)
        self._drop_old_unwritten(now)
        self._listed = {e.record.software for e in self._fleet.engines.values()}
        for software in self._new.keys() - self._listed:
            del self._new[software]
        for software in list(self._listed):
            self.note_engine(software)
        if self._ownership.owns(TOPIC):
            self._end_versions()
            self._remove_expired(now)

    def _drop_old_unwritten(self, now: float) -> None:
        for software, streams in list(self._unwritten.items()):
            for key, at in list(streams.items()):
                if now - at < self._versions.kept_s:
                    break
                del streams[key]
            if not streams:
                del self._unwritten[software]

    def _end_versions(self) -> None:
        if not (self._follower.is_synced and self.is_fleet_current()):
            return
        for software in self._versions.unfinished():
            if software not in self._listed:
                self._publish_version(software, _State.LEFT)

    def _remove_expired(self, now: float) -> None:
        expired = [
            key
            for key, until in self._stored.items()
            if until is not None and until <= now
        ][:MAX_STREAM_REMOVALS]
        for key in expired:
            self._forget(key)
        if expired:
            done = self._writer.append([(key, None) for key in expired]).done
            done.addErrback(self._note_not_removed)

    def _note_not_removed(self, failure: Any) -> None:
        failure.trap(PomeloshiftError)
        self._events.warn("removal_failed", topic=TOPIC, why=failure.value.message)

    def _now(self) -> float:
        return float(self._clock.monotonic())
