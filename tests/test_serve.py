import json
import socket

from twisted.web.resource import Resource

from pomeloshift.net._serve import serve


def test_closed_listener_can_be_stopped_repeatedly(reactor, run_async):
    listener = serve(reactor, Resource(), "127.0.0.1")
    run_async(listener.stop_accepting())
    run_async(listener.stop())
    run_async(listener.stop())


def exchange(address, data):
    """Sends bytes, closes the sending side and returns all bytes received."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=60) as conn:
        conn.sendall(data)
        conn.shutdown(socket.SHUT_WR)
        received = b""
        while data := conn.recv(65536):
            received += data
    return received


def test_half_close_in_mid_request_gets_an_error_response(
    reactor, run_async, run_blocking
):
    listener = serve(reactor, Resource(), "127.0.0.1")
    head = b"POST /v1/files HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n"
    answer = run_blocking(exchange, listener.address, head + b"only a part")
    body = json.loads(answer.partition(b"\r\n\r\n")[2])
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert body["error"]["code"] == "invalid_request"
    assert body["error"]["ran"] == "no"
    run_async(listener.stop())


def test_body_over_the_limit_is_rejected_before_it_arrives(
    reactor, run_async, run_blocking
):
    listener = serve(reactor, Resource(), "127.0.0.1")
    head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n"
    answer = run_blocking(exchange, listener.address, head)
    assert answer.startswith(b"HTTP/1.1 413 ")
    assert b'"body_too_large"' in answer
    run_async(listener.stop())
