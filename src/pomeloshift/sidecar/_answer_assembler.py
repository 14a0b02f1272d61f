"""Builds a complete response from the engine's stream of events."""

from typing import Any

import attrs
import msgspec

EVENT_PREFIX = b"data:"
END_OF_STREAM = b"[DONE]"
JOINED_FIELDS = ("content", "reasoning_content", "refusal", "text")


@attrs.define
class AnswerState:
    """The part of a response received so far, in a serializable form."""

    top: dict[str, Any] = attrs.field(factory=dict)
    choices: dict[int, dict[str, Any]] = attrs.field(factory=dict)
    is_chat: bool = False


class AnswerAssembler:
    """Joins OpenAI stream events into the response to a non-streaming call.

        assembler = AnswerAssembler()
        assembler.feed(b'data: {"choices": [...]}')
        assembler.response()

    Unknown fields are copied from the latest event that has them, so that an
    engine's extensions of the protocol reach the caller.
    """

    def __init__(self, state: AnswerState | None = None) -> None:
        self._state = state or AnswerState()
        self.has_ended = False

    def state(self) -> AnswerState:
        """Returns the state so far, from which another assembler can resume."""
        return self._state

    def feed(self, payload: bytes) -> None:
        """Adds complete events in the engine's encoding."""
        for line in payload.splitlines():
            if line.startswith(EVENT_PREFIX):
                self._add_event(line[len(EVENT_PREFIX) :].strip())

    def response(self) -> bytes:
        """Returns the joined response as JSON."""
        choices = [self._state.choices[index] for index in sorted(self._state.choices)]
        kind = "chat.completion" if self._state.is_chat else "text_completion"
        return msgspec.json.encode(
            {**self._state.top, "object": kind, "choices": choices}
        )

    def _add_event(self, data: bytes) -> None:
        if data == END_OF_STREAM:
            self.has_ended = True
            return
        event = msgspec.json.decode(data)
        for choice in event.pop("choices", ()):
            self._add_choice(choice)
        event.pop("object", None)
        self._state.top.update({k: v for k, v in event.items() if v is not None})

    def _add_choice(self, choice: dict[str, Any]) -> None:
        joined = self._state.choices.setdefault(
            choice["index"], {"index": choice["index"]}
        )
        delta = choice.pop("delta", None)
        if delta is not None:
            self._state.is_chat = True
            message = joined.setdefault("message", {"role": "assistant"})
            _merge(message, delta)
        _merge(joined, choice)


def _merge(target: dict[str, Any], part: dict[str, Any]) -> None:
    for name, value in part.items():
        if value is None:
            target.setdefault(name, None)
        elif name in JOINED_FIELDS:
            target[name] = (target.get(name) or "") + value
        elif name == "tool_calls":
            _merge_tool_calls(target, value)
        else:
            target[name] = value


def _merge_tool_calls(target: dict[str, Any], parts: list[dict[str, Any]]) -> None:
    calls = target.setdefault("tool_calls", [])
    for part in parts:
        position = part.get("index", 0)
        while len(calls) <= position:
            calls.append({"function": {"name": "", "arguments": ""}})
        call = calls[position]
        function = part.get("function") or {}
        call["function"]["name"] += function.get("name") or ""
        call["function"]["arguments"] += function.get("arguments") or ""
        call.update({k: v for k, v in part.items() if k not in ("function", "index")})


def request_stream(body: bytes) -> bytes:
    """Returns ``body`` with streaming and the token usage switched on."""
    request = msgspec.json.decode(body)
    request["stream"] = True
    request["stream_options"] = {"include_usage": True}
    return msgspec.json.encode(request)
