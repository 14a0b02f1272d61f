"""Relays an engine's response to the caller."""

from collections.abc import Callable

import attrs

from ..dispatch import (
    EVENT_STREAM,
    MAX_EVENT_BYTES,
    EventSplitter,
    OversizedEventError,
    StreamEvent,
)
from ..http1 import Exchange, ResponseHead
from ._timing import MAX_HELD_BYTES


@attrs.define
class ResponseRelay:
    """Writes one response; a stream may come from several engines in turn.

    The relay holds the head back until the first complete event of a stream. For any
    other response it holds the head back until the body is complete or exceeds
    `MAX_HELD_BYTES`. Until then the request can be retried on another engine. The
    relay writes only complete events, so that another engine can resume a stream
    after the last one. Events without an id, such as comments, are written with the
    next one that has an id, because garbage looks like them. What an engine sends where
    it resumes a stream has to be a stream of the same type that goes on with the next
    event: an error of the engine is no part of the stream. ``resumed_after`` is the id
    of the last event that the caller has, if it takes up a stream.

    ``progressed_at`` is the monotonic time of the last event or body byte that the
    caller can use. ``stream_s`` is the time from a stream's first event to its end; it
    stays 0 for a stream that another engine resumed.
    """

    _exchange: Exchange
    _is_stream: bool
    _now: Callable[[], float]
    _resumed_after: int | None = None
    has_begun: bool = False
    first_event_s: float = 0.0
    stream_s: float = 0.0
    progressed_at: float = 0.0
    _stream_began_at: float | None = None
    _is_resumed: bool = False
    _head: ResponseHead | None = None
    _is_framed: bool = True
    _run_has_events: bool = False
    _awaits_next: bool = False
    _splitter: EventSplitter = attrs.field(factory=EventSplitter)
    _unnumbered: bytearray = attrs.field(factory=bytearray)
    _held: bytearray = attrs.field(factory=bytearray)
    _last_id: int | None = attrs.field(init=False)

    @_last_id.default
    def _last_received(self) -> int | None:
        return self._resumed_after

    @property
    def resume_from(self) -> int | None:
        """The id of the last event written, or None before the first one."""
        return self._last_id if self.has_begun else None

    @property
    def can_resume(self) -> bool:
        """Whether another engine's response can continue what was written."""
        return not self.has_begun or self._last_id is not None

    @property
    def shows_run(self) -> bool:
        """Whether the last response shows that its engine has run the request.

        A stream does so with its first event. A failure may come from an engine that
        rejected the request unread, and a stream that is resumed at its end has nothing
        left to run.
        """
        if self._splits_events():
            return self._run_has_events
        return self._head is not None and 200 <= self._head.status < 300

    def begin_run(self) -> None:
        """Prepares for the response of the next engine."""
        self._splitter = EventSplitter()
        self._unnumbered.clear()
        self._held.clear()
        self._run_has_events = False
        self._awaits_next = self.has_begun or self._resumed_after is not None
        self.progressed_at = self._now()

    def take_head(self, head: ResponseHead) -> bool:
        """Handles a response's head; returns whether the response can be used."""
        self.progressed_at = self._now()
        self._is_framed = head.is_framed
        if self.has_begun:
            assert self._head is not None
            self._is_resumed = True
            return head.status == 200 and head.media_type == self._head.media_type
        is_resumed = self._resumed_after is not None and head.status == 200
        if is_resumed and head.media_type not in ("", EVENT_STREAM):
            return False
        self._head = head
        return True

    def take_data(self, data: bytes) -> bool:
        """Handles a chunk of the body; returns False if its events cannot be used.

        They are out of order, or malformed.

        Raises `OversizedEventError` if the stream goes on without an event to write.
        """
        if not self._splits_events():
            self._hold_plain(data)
            return True
        events = self._splitter.feed(data)
        # A comment is no event: it can keep the connection of a waiting request open.
        has_events = any(event.id is not None or event.data for event in events)
        self._run_has_events = self._run_has_events or has_events
        in_order = self._events_in_order(events)
        self._write_numbered(in_order)
        return len(in_order) == len(events)

    def finish(self) -> bool:
        """Ends the response; returns False if the engine has broken it off.

        A stream that stops within an event is broken off. So is one that its connection
        ends before the engine's first event.
        """
        if self._splits_events():
            if self._splitter.rest or not (self._is_framed or self._run_has_events):
                return False
            self._begin()
            if self._unnumbered:
                self._exchange.write(bytes(self._unnumbered))
            self._exchange.finish()
            if self._stream_began_at is not None and not self._is_resumed:
                self.stream_s = self._now() - self._stream_began_at
            return True
        body = bytes(self._held)
        if self.has_begun:
            self._exchange.write(body)
            self._exchange.finish()
        else:
            assert self._head is not None
            self.has_begun = True
            headers = self._head.headers.end_to_end()
            self._exchange.respond(self._head.status, headers, body)
        return True

    def _splits_events(self) -> bool:
        return self._is_stream and self._head is not None and self._head.status == 200

    def _hold_plain(self, data: bytes) -> None:
        self.progressed_at = self._now()
        self._held += data
        if self.has_begun or len(self._held) > MAX_HELD_BYTES:
            self._begin()
            self._exchange.write(bytes(self._held))
            self._held.clear()

    def _begin(self) -> None:
        if self.has_begun:
            return
        assert self._head is not None
        self.has_begun = True
        self.first_event_s = self._now() - self._exchange.arrived_at
        self._exchange.start(self._head.status, self._head.headers.end_to_end())

    def _events_in_order(self, events: list[StreamEvent]) -> list[StreamEvent]:
        """Returns the events before the first one that cannot be used."""
        last_id = self._last_id
        for at, event in enumerate(events):
            if event.is_malformed:
                return events[:at]
            if event.id is None:
                if self._awaits_next and not event.is_comment:
                    return events[:at]
                continue
            if last_id is not None and event.id != last_id + 1:
                return events[:at]
            last_id = event.id
            self._awaits_next = False
        return events

    def _write_numbered(self, events: list[StreamEvent]) -> None:
        """Writes the events up to the last one with an id and holds the others back."""
        numbered = bytearray()
        for event in events:
            self._unnumbered += event.raw
            if event.id is not None:
                self._last_id = event.id
                numbered += self._unnumbered
                self._unnumbered.clear()
        if numbered:
            self._note_progress()
            self._exchange.write(bytes(numbered))
        if len(self._unnumbered) > MAX_EVENT_BYTES:
            raise OversizedEventError(f"{MAX_EVENT_BYTES} bytes of events without ids")

    def _note_progress(self) -> None:
        self.progressed_at = self._now()
        if self._stream_began_at is None:
            self._stream_began_at = self.progressed_at
        self._begin()
