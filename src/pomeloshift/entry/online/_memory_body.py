"""The body of a request to a sidecar."""

from typing import Any

import attrs
from twisted.internet.defer import Deferred, succeed
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer


@implementer(IBodyProducer)
@attrs.define
class MemoryBody:
    """Writes bytes that are in memory already."""

    data: bytes

    @property
    def length(self) -> int:
        """The number of bytes."""
        return len(self.data)

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Writes everything at once."""
        consumer.write(self.data)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Does nothing, as everything is written already."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Does nothing, as everything is written already."""

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing, as everything is written already."""
