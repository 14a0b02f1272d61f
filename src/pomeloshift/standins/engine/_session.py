"""One HTTP request that the engine stand-in is responding to."""

from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.web.server import Request

from ._text import Generation

DONE = b"data: [DONE]\n\n"
CANCELLED_STATUS = 499


class Session:
    """Writes a response as its tokens are produced.

    Tokens are numbered over all runs of the stream: ``first`` is the first one of this
    run, and ``sent`` the number of those that were written or exist from an earlier
    run. ``ended`` fires when the response is over.
    """

    def __init__(
        self,
        req: Request,
        stream_id: str,
        generation: Generation,
        fields: dict[str, Any],
        chat: bool,
        done_tokens: int,
    ) -> None:
        self.req = req
        self.stream_id = stream_id
        self.generation = generation
        self.ended: Deferred[None] = Deferred()
        self.sent = done_tokens
        self.first = done_tokens
        self.closed = False
        self._chat = chat
        self._stream = bool(fields.get("stream"))
        options = fields.get("stream_options") or {}
        self._with_usage = bool(options.get("include_usage"))
        self._chunk_head, self._chunk_tail = self._chunk_template()

    def begin(self) -> None:
        """Sends the headers of a streamed response."""
        if not self._stream:
            return
        self.req.setHeader(b"content-type", b"text/event-stream")
        self.req.setHeader(b"cache-control", b"no-cache")
        self.req.write(b"")

    def advance(self, produced: int) -> None:
        """Sends the tokens up to number ``produced`` of the complete output."""
        if self.closed or produced <= self.sent:
            return
        if self._stream:
            self.req.write(b"".join(self._chunks(self.sent, produced)))
        self.sent = produced

    def finish(self) -> None:
        """Sends the remaining tokens and the end marker, and closes the response."""
        if self.closed:
            return
        self.advance(self.generation.tokens)
        if self._stream:
            self.req.write(self._last_events())
        else:
            self.req.setHeader(b"content-type", b"application/json")
            self.req.write(msgspec.json.encode(self._complete_body()))
        self.close()

    def cancel(self) -> None:
        """Ends an incomplete response after its stream was cancelled.

        A response that is not streamed has the status 499.
        """
        if not self.closed and not self._stream:
            self.req.setResponseCode(CANCELLED_STATUS)
        self.close()

    def close(self) -> None:
        """Fires ``ended``, so that the handler returns.

        That finishes the request unless its caller has disconnected.
        """
        if not self.closed:
            self.closed = True
            self.ended.callback(None)

    def abort(self) -> None:
        """Aborts the connection, as an engine that crashes does."""
        channel: Any = self.req.channel
        if channel is not None and channel.transport is not None:
            channel.transport.abortConnection()
        self.close()

    def _chunks(self, first: int, last: int) -> list[bytes]:
        generation = self.generation
        return [
            self._chunk_head
            + generation.text(number, number + 1).encode()
            + self._chunk_tail
            for number in range(first, last)
        ]

    def _chunk_template(self) -> tuple[bytes, bytes]:
        marker = "@TEXT@"
        delta: dict[str, Any] = {"content": marker}
        choice: dict[str, Any] = {"index": 0, "finish_reason": None}
        if self._chat:
            delta["role"] = "assistant"
            choice["delta"] = delta
        else:
            choice["text"] = marker
        event = _event(self._envelope(choice))
        head, tail = event.split(marker.encode())
        return head, tail

    def _envelope(self, choice: dict[str, Any] | None) -> dict[str, Any]:
        kind = "chat.completion.chunk" if self._chat else "text_completion"
        return {
            "id": f"cmpl-{self.stream_id}",
            "object": kind,
            "created": 0,
            "model": self.generation.model,
            "choices": [] if choice is None else [choice],
        }

    def _last_events(self) -> bytes:
        reason = self.generation.finish_reason
        choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
        if self._chat:
            choice["delta"] = {}
        else:
            choice["text"] = ""
        events = _event(self._envelope(choice))
        if self._with_usage:
            envelope = self._envelope(None)
            envelope["usage"] = self._usage()
            events += _event(envelope)
        return events + DONE

    def _complete_body(self) -> dict[str, Any]:
        generation = self.generation
        text = generation.text(0, generation.tokens)
        choice: dict[str, Any] = {
            "index": 0,
            "finish_reason": generation.finish_reason,
            "logprobs": None,
        }
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        body = self._envelope(choice)
        body["object"] = "chat.completion" if self._chat else "text_completion"
        body["usage"] = self._usage()
        return body

    def _usage(self) -> dict[str, int]:
        prompt = len(self.generation.prompt_words)
        output = self.generation.tokens
        return {
            "prompt_tokens": prompt,
            "completion_tokens": output,
            "total_tokens": prompt + output,
        }


def _event(fields: dict[str, Any]) -> bytes:
    return b"data: " + msgspec.json.encode(fields) + b"\n\n"
