"""Where the answers of attempts go."""

from collections.abc import Callable

from ..attempts import AttemptRegistry
from ..errors import ErrorReport
from ..wire import Frame


class FrameSink:
    """Numbers pieces of answers in the registry and publishes them.

    Pieces of an attempt that was abandoned meanwhile are dropped.
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
        """Adds a piece of an answer."""
        if self._registry.is_running(attempt_id):
            frame = self._registry.append(
                attempt_id, payload, tokens, status, content_type
            )
            self._publish(frame)

    def finish(self, attempt_id: str) -> None:
        """Ends an answer that is whole."""
        if self._registry.is_running(attempt_id):
            self._publish(self._registry.finish(attempt_id))

    def fail(self, attempt_id: str, error: ErrorReport) -> None:
        """Ends an answer with an error."""
        if self._registry.is_running(attempt_id):
            self._publish(self._registry.fail(attempt_id, error))
