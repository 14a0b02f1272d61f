"""Remembers which version of a service's software began each stream."""

import hashlib
import math
from collections.abc import Collection

import attrs
from attrs import validators as v

from ._software_version import SoftwareVersion

KEY_BYTES = 8


def stream_key(request_id: str) -> int:
    """Returns the key of the stream that the request with this id began."""
    digest = hashlib.blake2b(request_id.encode(), digest_size=KEY_BYTES).digest()
    return int.from_bytes(digest, "big")


@attrs.define
class StreamVersions:
    """Knows the versions that began streams, and the versions that are in use.

    Designed for streams of seconds of which callers take up few, most of them at once
    after the loss of entries. A stream and a version that has left the service count
    for ``kept_s`` seconds, which has to exceed the longest time in which a caller takes
    a stream up. Beyond ``max_streams`` the oldest streams are dropped.

        versions.put_version(SoftwareVersion("lm", "v1"))
        versions.put_stream(stream_key("9c41"), SoftwareVersion("lm", "v1"), now)
        versions.find(stream_key("9c41"), now)
    """

    kept_s: float = attrs.field(validator=v.gt(0))
    max_streams: int = attrs.field(validator=v.ge(1))
    # With the time at which each began to count, the oldest first.
    _streams: dict[int, tuple[SoftwareVersion, float]] = attrs.field(factory=dict)
    # Until when each version counts.
    _versions: dict[SoftwareVersion, float] = attrs.field(factory=dict)
    # Those that will be used, but have not begun any stream.
    _announced: set[SoftwareVersion] = attrs.field(factory=set)

    def put_stream(self, key: int, software: SoftwareVersion, now: float) -> None:
        """Records that a stream began at a version."""
        if key in self._streams:
            return
        self._streams[key] = software, now
        if len(self._streams) > self.max_streams:
            del self._streams[next(iter(self._streams))]

    def find(self, key: int, now: float) -> SoftwareVersion | None:
        """Returns the version that began a stream, None if it is not known."""
        software, at = self._streams.get(key, (None, -math.inf))
        return software if now - at < self.kept_s else None

    def announce(self, software: SoftwareVersion) -> bool:
        """Records that a version will be used; returns False if it is known."""
        is_new = software not in self._announced and not self.is_in_use(software)
        if is_new:
            self._announced.add(software)
        return is_new

    def put_version(self, software: SoftwareVersion) -> None:
        """Records that a version is in use."""
        self._announced.discard(software)
        self._versions[software] = math.inf

    def end_version(self, software: SoftwareVersion, now: float) -> None:
        """Records that no engine of a version is left.

        One that is not known may have served at other entries.
        """
        self._announced.discard(software)
        if self.is_in_use(software) or software not in self._versions:
            self._versions[software] = now + self.kept_s

    def drop_version(self, software: SoftwareVersion) -> None:
        """Forgets a version."""
        self._announced.discard(software)
        self._versions.pop(software, None)

    def is_in_use(self, software: SoftwareVersion) -> bool:
        """Returns whether a version is recorded and has not left."""
        return self._versions.get(software) == math.inf

    def unfinished(self) -> list[SoftwareVersion]:
        """Returns the versions that are announced or in use."""
        in_use = [software for software in self._versions if self.is_in_use(software)]
        return [*self._announced, *in_use]

    def is_sole(self, software: SoftwareVersion, now: float) -> bool:
        """Returns whether no other version of its service counts or is announced."""
        announced = {o for o in self._announced if o.service == software.service}
        return self.counting({software.service}, now) | announced == {software}

    def counting(
        self, services: Collection[str], now: float
    ) -> frozenset[SoftwareVersion]:
        """Returns the versions of services at which a stream may have begun."""
        return frozenset(
            software
            for software, until in self._versions.items()
            if software.service in services and now < until
        )

    def expire(self, now: float) -> None:
        """Removes what no longer counts."""
        for key, (_, at) in list(self._streams.items()):
            if now - at < self.kept_s:
                break
            del self._streams[key]
        for software, until in list(self._versions.items()):
            if until <= now:
                del self._versions[software]

    def __len__(self) -> int:
        return len(self._streams)
