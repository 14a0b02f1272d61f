import pytest

from pomeloshift.config import ServiceKind
from pomeloshift.settings import (
    EntrySettings,
    FaultCode,
    SettingsError,
    SidecarSettings,
    load_settings,
    parse_settings,
)

ENTRY = """{
  // An entry.
  "name": "entry-1",
  "place": {"region": "gorenjska", "availability_zone": "kranj-a"},
  "log_url": "http://127.0.0.1:7000", /* the log,
  on two lines */
  "list_url": "http://127.0.0.1:7001",
  "internal_key": "0123456789abcdef",
  "port": 9000,
}"""

SIDECAR = """{
  "name": "b1",
  "place": {"region": "r", "availability_zone": "z"},
  "service": "vezi-lm",
  "kind": "plain",
  "engines": [{"name": "e1", "url": "http://127.0.0.1:1"}],
  "list_url": "http://127.0.0.1:2",
  "internal_key": "0123456789abcdef"
}"""


def faults_of(text, cls=EntrySettings):
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, cls, "f.jsonc")
    return {f.path: (f.code, f.line) for f in caught.value.faults}


def test_settings_are_read_with_comments_and_defaults(tmp_path):
    path = tmp_path / "entry.jsonc"
    path.write_text(ENTRY)
    settings = load_settings(path, EntrySettings)
    assert settings.port == 9000
    assert settings.place.availability_zone == "kranj-a"
    assert settings.partitions == 64
    assert settings.reachable_host == "127.0.0.1"
    assert parse_settings(SIDECAR, SidecarSettings).kind is ServiceKind.PLAIN


def test_all_faults_are_reported_with_path_code_and_line():
    text = ENTRY.replace('"kranj-a"', "7").replace("9000", '"9000"')
    text = text.replace('"name"', '"nmae"').replace(
        '"list_url": "http://127.0.0.1:7001"', '"list_url": "127.0.0.1"'
    )
    assert faults_of(text) == {
        "name": (FaultCode.MISSING_KEY, 1),
        "nmae": (FaultCode.UNKNOWN_KEY, 3),
        "place.availability_zone": (FaultCode.WRONG_TYPE, 4),
        "list_url": (FaultCode.OUT_OF_RANGE, 7),
        "port": (FaultCode.WRONG_TYPE, 9),
    }


def test_paths_of_faults_have_list_indexes():
    text = SIDECAR.replace('"http://127.0.0.1:1"', 'null, "x": 1')
    assert faults_of(text, SidecarSettings) == {
        "engines[0].url": (FaultCode.WRONG_TYPE, 6),
        "engines[0].x": (FaultCode.UNKNOWN_KEY, 6),
    }
    text = SIDECAR.replace('[{"name": "e1", "url": "http://127.0.0.1:1"}]', "[]")
    assert faults_of(text, SidecarSettings) == {"engines": (FaultCode.OUT_OF_RANGE, 6)}


@pytest.mark.parametrize(
    ("value", "code"),
    [
        ("true", FaultCode.WRONG_TYPE),
        ("1.5", FaultCode.WRONG_TYPE),
        ("70000", FaultCode.OUT_OF_RANGE),
        ("-1", FaultCode.OUT_OF_RANGE),
        ("null", FaultCode.WRONG_TYPE),
    ],
)
def test_bad_ports_are_refused(value, code):
    assert faults_of(ENTRY.replace("9000", value)) == {"port": (code, 9)}


@pytest.mark.parametrize("text", ["", "[1 2]", ENTRY.replace("9000,", "9000 9,")])
def test_malformed_json_is_one_fault_with_its_line(text):
    faults = faults_of(text)
    assert list(faults) == [""]
    assert faults[""][0] is FaultCode.NOT_JSON
    assert faults[""][1] == (9 if "9000" in text else 1)


def test_nan_is_refused():
    assert faults_of(ENTRY.replace("9000", "NaN"))[""][0] is FaultCode.NOT_JSON


def test_unreadable_file_is_a_fault(tmp_path):
    with pytest.raises(SettingsError) as caught:
        load_settings(tmp_path / "none.jsonc", EntrySettings)
    assert caught.value.faults[0].code is FaultCode.UNREADABLE_FILE


def test_every_fault_has_a_remedy():
    text = ENTRY.replace("9000", "-1").replace('"name"', '"nmae"')
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, EntrySettings)
    assert all(fault.remedy for fault in caught.value.faults)
    assert "did you mean name?" in caught.value.message
