import pathlib
import re

import pytest

import pomeloshift
from pomeloshift.explain import explain, parse_line
from pomeloshift.gateway._event_catalogue import EVENTS

ROOT = pathlib.Path(__file__).parent.parent
USE = re.compile(r"events\s*\.(?:info|warn)\(\s*\"(\w+)\"")
DECISIVE = frozenset(spec.name for spec in EVENTS if spec.is_decisive)
NOT_BY_NAME = {"lines_omitted"}  # `EventLog` writes it without `info` or `warn`


def lines(source, *texts):
    return [parse_line(text, source, n) for n, text in enumerate(texts, 1)]


@pytest.fixture
def log():
    # The clock of file b is two seconds behind, and is set back between its lines.
    a = lines(
        "a",
        "time=2026-01-01T00:00:05.000 level=INFO event=job_accepted id=j1 items=2",
        "time=2026-01-01T00:00:06.000 level=INFO event=item_run id=i1 job=j1 end=cut",
        "time=2026-01-01T00:00:06.100 level=INFO event=item_run id=i2 job=j1 end=done",
    )
    b = lines(
        "b",
        "time=2026-01-01T00:00:06.500 level=INFO event=item_run id=i1 job=j1 end=other",
        "time=2026-01-01T00:00:04.000 level=INFO event=item_settled id=i1 job=j1 "
        'is_done=False why="two words"',
    )
    return [*a, *b]


def test_code_page_and_catalogue_name_the_same_events():
    package = pathlib.Path(pomeloshift.__file__).parent / "gateway"
    source = "".join(path.read_text() for path in package.rglob("*.py"))
    names = [spec.name for spec in EVENTS]
    assert len(set(names)) == len(names)
    assert set(USE.findall(source)) | NOT_BY_NAME == set(names)
    page = (ROOT / "docs/OPERATIONS.md").read_text()
    listed = re.findall(r"^\| `(\w+)` \| (.*?) \| (.*?) \|$", page, re.MULTILINE)
    assert listed == [
        (spec.name, "yes" if spec.is_decisive else "", spec.meaning) for spec in EVENTS
    ]


def test_lines_about_an_item_come_in_order_with_its_job(log):
    found = explain("i1", log, DECISIVE)
    assert [(line.source, line.event) for line in found.lines] == [
        ("a", "job_accepted"),
        ("a", "item_run"),
        ("b", "item_run"),
        ("b", "item_settled"),
    ]
    assert found.decisive.event == "item_settled"
    assert found.decisive.fields["why"] == "two words"


def test_lines_about_a_job_include_its_items(log):
    assert len(explain("j1", log, DECISIVE).lines) == 5


def test_lines_about_a_request_include_the_crashes_under_its_retries():
    time = "time=2026-01-01T00:00:0"
    known = [
        *lines(
            "a",
            f"{time}1.000 event=crash_recorded id=r1 fingerprint=f1 crashes=1",
            f"{time}2.000 event=crash_recorded id=r9 fingerprint=f9 crashes=1",
        ),
        *lines(
            "b",
            f'{time}1.100 event=crash_recorded id="" fingerprint=f1 crashes=1',
            f"{time}3.000 event=request_quarantined id=r2 fingerprint=f1 crashes=3",
            f"{time}3.001 event=request_failed id=r2 status=503",
        ),
    ]
    found = explain("r2", known, DECISIVE)
    assert [line.event for line in found.lines] == [
        "crash_recorded",
        "crash_recorded",
        "request_quarantined",
        "request_failed",
    ]
    assert found.decisive.event == "request_failed"
    assert len(explain("f1", known, DECISIVE).lines) == 3


def test_lines_about_a_request_include_the_stream_that_it_takes_up():
    time = "time=2026-01-01T00:00:0"
    log = lines(
        "a",
        f"{time}1.0 level=INFO event=attempt_sent id=began version=v1 resumes=None",
        f"{time}2.0 level=INFO event=attempt_sent id=other version=v2 resumes=None",
        f"{time}3.0 level=WARNING event=version_unavailable id=again resumes=began",
        f"{time}3.1 level=WARNING event=request_failed id=again status=503",
    )
    found = explain("again", log, DECISIVE)
    assert found.decisive.event == "request_failed"
    assert [line.fields["id"] for line in found.lines] == ["began", "again", "again"]
    about_other = explain("other", log, DECISIVE).lines
    assert [line.fields["id"] for line in about_other] == ["other"]


def test_unknown_id_has_no_lines(log):
    found = explain("x", log, DECISIVE)
    assert found.lines == ()
    assert found.decisive is None


@pytest.mark.parametrize(
    "text", ["", "Traceback (most recent call last):", "time=1 a=b"]
)
def test_other_lines_are_ignored(text):
    assert parse_line(text, "a", 1) is None
