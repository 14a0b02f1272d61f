"""Publishes the responses of attempts as frames."""

from collections.abc import Callable

from ..attempts import AttemptRegistry
from ..errors import ErrorReport
from ..wire import Frame


class FrameSink:
    """Numbers the frames of responses in the registry and publishes them.

    Frames of an abandoned attempt are dropped.
    """

    def __init__(
        self, registry: AttemptRegistry, publish: Callable[[Frame], None]
    ) -> None:
        self._registry = registry
        self._publish = publish

    def append(
        self,
        attempt_id: str,
        payload: bytes,
        tokens: int,
        status: int,
        content_type: str,
    ) -> None:
        """Publishes a part of a response as the next frame."""
        if self._registry.is_running(attempt_id):
            frame = self._registry.append(
                attempt_id, payload, tokens, status, content_type
            )
            self._publish(frame)

    def finish(self, attempt_id: str) -> None:
        """Ends a complete response with its last frame."""
        if self._registry.is_running(attempt_id):
            self._publish(self._registry.finish(attempt_id))

    def fail(self, attempt_id: str, error: ErrorReport) -> None:
        """Ends a response with an error frame."""
        if self._registry.is_running(attempt_id):
            self._publish(self._registry.fail(attempt_id, error))
