from pomeloshift.standins.engine import expected_answer


def chat(number=1, **more):
    message = {"role": "user", "content": f"which tension for seam {number}"}
    return {"model": "vezi-lm", "messages": [message], "max_tokens": 20, **more}


def test_separate_processes_serve_a_request_and_stop_gracefully(fleet):
    entry = fleet.start_entry()
    fleet.start_engine("engine-1")
    sidecar = fleet.start_sidecar("vezi-lm-1", "engine-1")
    assert fleet.call("GET", "/readyz")[0] == 503
    fleet.publish()
    assert fleet.call("GET", "/readyz")[0] == 200
    fleet.wait_until(lambda: "vezi-lm-1" in fleet.command("status"))

    status, answer = fleet.call("POST", "/v1/chat/completions", chat())
    assert status == 200, answer
    assert answer["choices"][0]["message"]["content"] == expected_answer(chat())

    assert sidecar.stop() == 0
    status, answer = fleet.call("POST", "/v1/chat/completions", chat(2))
    assert status == 503
    assert answer["error"]["ran"] == "no"
    assert entry.stop() == 0
