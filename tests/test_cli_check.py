import pathlib

import pytest

from pomeloshift.cli._check import check
from pomeloshift.cli._kinds import guess_kind
from pomeloshift.questionnaire import example_text

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"

FILES = {
    "entry": '{"name": "e", "place": {"region": "r", "availability_zone": "z"}, '
    '"log_url": "http://h:1", "list_url": "http://h:2", '
    '"internal_key": "0123456789abcdef"}',
    "sidecar": '{"name": "b", "place": {"region": "r", "availability_zone": "z"}, '
    '"service": "s", "engines": [{"name": "e", "url": "http://h:1"}], '
    '"list_url": "http://h:2", "internal_key": "0123456789abcdef"}',
    "engine": '{"name": "engine-1", "models": ["m"], "decode_slots": 3}',
    "log": '{"appends_per_s": 100}',
    "list": '{"lag_s": 2}',
    "weights": '{"loads_per_s": 2}',
    "service": '{"delay_s": 2}',
}


@pytest.mark.parametrize("name", ["vezi", "kalivati"])
def test_examples_have_no_faults(name, capsys):
    assert check(str(EXAMPLES / f"{name}.jsonc")) == 0
    assert "a valid questionnaire file" in capsys.readouterr().out


@pytest.mark.parametrize("kind", FILES)
def test_kind_is_inferred_from_the_keys(kind, tmp_path, capsys):
    path = tmp_path / "f.jsonc"
    path.write_text(FILES[kind])
    assert check(str(path)) == 0
    assert f"a valid {kind} file" in capsys.readouterr().out
    assert check(str(path), kind=kind) == 0


def test_every_fault_has_its_line_key_remedy_and_code(tmp_path, capsys):
    path = tmp_path / "f.jsonc"
    text = example_text("vezi").replace('"kind": "plain"', '"kind": 3')
    path.write_text(text.replace('"deployment"', '"deploiment"'))
    assert check(str(path)) == 2
    lines = capsys.readouterr().err.splitlines()
    assert f"{path}:5: deploiment: is not a known key" in lines[1]
    assert "did you mean deployment?" in lines[1]
    assert lines[1].endswith("[unknown_key]")
    assert "services[1].kind: 3 is not one of model, plain" in lines[2]
    assert lines[-1] == f"{path}: 3 faults"


@pytest.mark.parametrize("text", ["{", "[]", '{"nothing": 1}'])
def test_invalid_or_unknown_documents_have_faults(text, tmp_path):
    path = tmp_path / "f.jsonc"
    path.write_text(text)
    assert check(str(path)) == 2


def test_missing_file_and_unknown_kind_are_refused(tmp_path, capsys):
    assert check(str(tmp_path / "none")) == 2
    path = tmp_path / "f.jsonc"
    path.write_text("{}")
    assert check(str(path), kind="other") == 2
    assert "is none of" in capsys.readouterr().err


def test_guessed_kind_is_questionnaire_for_its_parts():
    assert guess_kind({"regions": [], "services": []}) == "questionnaire"


GATEWAY_FILE = """
nodeName = "edge-a-1"
ip = "10.1.0.1"
zone = "a"
region = "r"
[listen]
front = "10.1.0.1:8080"
ready = "10.1.0.1:8081"
[platform]
address = "10.9.0.1:7000"
"""


def test_deploy_file_has_no_faults(capsys):
    assert check(str(EXAMPLES.parent / "deploy" / "system.toml")) == 0
    assert "a valid deploy file" in capsys.readouterr().out


def test_settings_of_a_gateway_are_checked(tmp_path, capsys):
    path = tmp_path / "node.toml"
    path.write_text(GATEWAY_FILE + "unknown = 1\n")
    assert check(str(path)) == 0
    assert "a valid gateway file" in capsys.readouterr().out
    path.write_text(GATEWAY_FILE.replace("10.9.0.1:7000", "nowhere"))
    assert check(str(path)) == 2
    assert "platform.address: 'nowhere' is not IP:PORT" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("text", "path", "code"),
    [
        ("[roles", "", "unreadable_file"),
        ("[roles]", "roles", "missing_key"),
        ('[roles.a]\non = "edge"', "roles.a.run", "missing_key"),
        ('[roles.a]\nrun = "x"\non = "here"', "roles.a.on", "out_of_range"),
        (
            '[roles.a]\nrun = "x"\non = "edge"\nshare = 1.5',
            "roles.a.share",
            "out_of_range",
        ),
        (
            '[roles.a]\nrun = "x"\non = "edge"\nserves = ["all"]',
            "roles.a.serves",
            "out_of_range",
        ),
        (
            '[roles.a]\nrun = "x"\non = "edge"\nmetrics = "m/1"',
            "roles.a.metrics",
            "out_of_range",
        ),
        (
            '[roles.a]\nrun = "x"\non = "edge"\nserves = ["edge"]\n'
            '[roles.b]\nrun = "x"\non = "edge"\nserves = ["edge"]',
            "roles.b.serves",
            "duplicate",
        ),
    ],
)
def test_faults_of_a_deploy_file_name_key_and_code(text, path, code, tmp_path, capsys):
    file = tmp_path / "system.toml"
    file.write_text(text)
    assert check(str(file)) == 2
    line = next(
        line for line in capsys.readouterr().err.splitlines() if f"[{code}]" in line
    )
    assert path in line


def test_more_than_two_roles_on_a_node_class_are_a_fault(tmp_path, capsys):
    file = tmp_path / "system.toml"
    roles = (f'[roles.r{n}]\nrun = "x"\non = "side"\n' for n in range(3))
    file.write_text("".join(roles))
    assert check(str(file)) == 2
    assert "puts 3 roles on side" in capsys.readouterr().err
