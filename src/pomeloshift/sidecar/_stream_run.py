"""The state of one stream in an engine executor."""

import attrs
from twisted.internet.defer import Deferred

from ._work import Work


@attrs.define
class StreamRun:
    """The state of one stream between admission and the engine.

    ``is_at_engine`` is set from just before the engine receives the stream until the
    engine has ended it. A preempted stream waits until admission resumes it;
    ``is_resume_pending`` is set if admission does so before the engine has stopped it.
    ``cancel_result`` fires with the engine's resume token, which is empty if the cancel
    failed. ``stopped`` fires when the engine has ended a stream that is being released.
    """

    work: Work
    resume: bytes = b""
    is_at_engine: bool = False
    is_withdrawn: bool = False
    is_preempted: bool = False
    is_resume_pending: bool = False
    is_releasing: bool = False
    cancel_result: Deferred[bytes] | None = None
    stopped: Deferred[None] | None = None
