import pytest

from pomeloshift.errors import ErrorCode
from pomeloshift.model import LoadReport
from pomeloshift.wire import (
    Acknowledgement,
    Frame,
    FrameReader,
    WireError,
    decode_message,
    encode_frame,
    encode_message,
)


def test_reader_decodes_frames_however_the_byte_stream_is_split():
    frames = [Frame("a", n, b"x" * n, tokens=1) for n in range(20)]
    data = b"".join(encode_frame(frame) for frame in frames)
    for size in (1, 3, 7, 1000):
        reader = FrameReader()
        decoded = []
        for start in range(0, len(data), size):
            decoded += reader.feed(data[start : start + size])
        assert decoded == frames


def test_frame_over_the_length_limit_raises_wire_error():
    with pytest.raises(WireError) as caught:
        FrameReader().feed(b"\xff\xff\xff\xff")
    assert caught.value.code is ErrorCode.PROTOCOL_ERROR


def test_message_round_trips_and_malformed_data_raises_wire_error():
    message = Acknowledgement(config_version=7, entry="e1")
    assert decode_message(encode_message(message)) == message
    for data in (b"", b"\xc1", encode_message(LoadReport())):
        with pytest.raises(WireError):
            decode_message(data)
