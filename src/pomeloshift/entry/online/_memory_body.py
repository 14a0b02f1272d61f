"""A twisted body producer for requests to sidecars."""

from typing import Any

import attrs
from twisted.internet.defer import Deferred, succeed
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer


@implementer(IBodyProducer)
@attrs.define
class MemoryBody:
    """Produces a request body that is already in memory."""

    data: bytes

    @property
    def length(self) -> int:
        """The length of the body in bytes."""
        return len(self.data)

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Writes the complete body at once."""
        consumer.write(self.data)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Does nothing, since the complete body is already written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Does nothing, since the complete body is already written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing, since the complete body is already written."""
