"""What an engine lane knows of one stream."""

import attrs
from twisted.internet.defer import Deferred

from ._work import Work


@attrs.define
class StreamRun:
    """The state of one stream between admission and the engine.

    ``at_engine`` is set while the engine knows the stream or is about to. A stream
    that was taken back waits until admission resumes it; ``cancelled`` gives the
    engine's resume token once the cancel was answered. ``stopped`` fires when the
    engine knows a stream no more that is being released.
    """

    work: Work
    resume: bytes = b""
    at_engine: bool = False
    withdrawn: bool = False
    preempted: bool = False
    resume_wanted: bool = False
    releasing: bool = False
    cancelled: Deferred[bytes] | None = None
    stopped: Deferred[None] | None = None
