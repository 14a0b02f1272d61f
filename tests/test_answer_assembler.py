import json

from pomeloshift.sidecar._answer_assembler import AnswerAssembler, request_stream


def events(*bodies):
    lines = [f"data: {json.dumps(body)}\n\n" for body in bodies]
    return ("".join(lines) + "data: [DONE]\n\n").encode()


def chat_event(delta, finish=None, **more):
    choice = {"index": 0, "delta": delta, "finish_reason": finish}
    return {"id": "c1", "object": "chat.completion.chunk", "choices": [choice], **more}


def test_chat_events_are_joined_with_usage_and_unknown_fields():
    assembler = AnswerAssembler()
    assembler.feed(
        events(
            chat_event({"role": "assistant", "content": "a "}),
            chat_event({"content": "b"}),
            chat_event({}, "stop", system_fingerprint="f"),
            {"id": "c1", "choices": [], "usage": {"total_tokens": 4}},
        )
    )
    response = json.loads(assembler.response())
    assert assembler.has_ended
    assert response["object"] == "chat.completion"
    assert response["choices"][0]["message"] == {"role": "assistant", "content": "a b"}
    assert response["choices"][0]["finish_reason"] == "stop"
    assert response["usage"] == {"total_tokens": 4}
    assert response["system_fingerprint"] == "f"


def test_text_choices_and_tool_calls_are_joined_by_index():
    assembler = AnswerAssembler()
    for index, text in ((0, "x"), (1, "y"), (0, "z")):
        assembler.feed(events({"choices": [{"index": index, "text": text}]}))
    texts = [choice["text"] for choice in json.loads(assembler.response())["choices"]]
    assert texts == ["xz", "y"]
    calls = AnswerAssembler()
    for name, arguments in (("send", '{"a"'), ("", ": 1}")):
        function = {"name": name, "arguments": arguments}
        part = {"index": 0, "id": "t", "function": function}
        calls.feed(events(chat_event({"tool_calls": [part]})))
    message = json.loads(calls.response())["choices"][0]["message"]
    assert message["tool_calls"][0]["function"]["arguments"] == '{"a": 1}'


def test_request_stream_keeps_other_fields():
    body = json.loads(request_stream(b'{"model": "m", "n": 2}'))
    assert body["model"] == "m" and body["n"] == 2 and body["stream"] is True
