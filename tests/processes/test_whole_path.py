import openai
import pytest

from pomeloshift.standins.engine import expected_answer

from .fleet import KEY


def chat(number=1, **overrides):
    message = {"role": "user", "content": f"which tension for seam {number}"}
    return {"model": "vezi-lm", "messages": [message], "max_tokens": 20, **overrides}


def test_separate_processes_serve_a_request_and_stop_gracefully(fleet):
    entry = fleet.start_entry()
    fleet.start_engine("engine-1")
    sidecar = fleet.start_sidecar("vezi-lm-1", "engine-1")
    assert fleet.call("GET", "/readyz")[0] == 503
    fleet.publish()
    assert fleet.call("GET", "/readyz")[0] == 200
    fleet.wait_for_servers("vezi-lm-1")

    status, response = fleet.call("POST", "/v1/chat/completions", chat())
    assert status == 200, response
    assert response["choices"][0]["message"]["content"] == expected_answer(chat())

    assert sidecar.stop() == 0
    status, response = fleet.call("POST", "/v1/chat/completions", chat(2))
    assert status == 503
    assert response["error"]["ran"] == "no"
    assert entry.stop() == 0

    logged = "".join(line for program in fleet.programs for line in program.lines)
    assert "event=config_applied" in logged
    for secret in (KEY, fleet.caller_key, fleet.operator_token):
        assert secret not in logged


def test_openai_client_drives_models_chat_and_completions(fleet):
    fleet.start_entry()
    fleet.start_engine("engine-1")
    fleet.start_sidecar("vezi-lm-1", "engine-1")
    fleet.publish()
    fleet.wait_for_servers("vezi-lm-1")
    url = f"http://{fleet.addresses['entry-1']}/v1"
    with openai.OpenAI(base_url=url, api_key=fleet.caller_key) as client:
        assert "vezi-lm" in [model.id for model in client.models.list()]
        expected = expected_answer(chat())
        completion = client.chat.completions.create(**chat())
        assert completion.choices[0].message.content == expected
        assert completion.usage.completion_tokens > 0
        streamed = client.chat.completions.create(**chat(stream=True))
        deltas = [c.choices[0].delta.content or "" for c in streamed if c.choices]
        assert "".join(deltas) == expected
        prompt = {"model": "vezi-lm", "prompt": "which thread", "max_tokens": 8}
        text = client.completions.create(**prompt).choices[0].text
        assert text == expected_answer(prompt)
        with pytest.raises(openai.NotFoundError) as caught:
            client.chat.completions.create(model="none", messages=chat()["messages"])
    assert caught.value.body["code"] == "unknown_model"
    assert caught.value.body["ran"] == "no"
