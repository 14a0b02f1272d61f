import io
import pathlib
import subprocess
import sys

import pytest

from pomeloshift.cli._keys import make_key
from pomeloshift.cli._questionnaire import QuestionnaireCommands, explain_lines
from pomeloshift.config import decode_configuration, digest_key, encode_configuration
from pomeloshift.questionnaire import (
    Consequence,
    ask_answers,
    diff_configurations,
    example_text,
    generate,
    load_example,
    parse_answers,
)

COMMANDS = QuestionnaireCommands()


def test_new_questionnaire_is_valid_and_explained(capsys):
    COMMANDS.new("north")
    captured = capsys.readouterr()
    answers = parse_answers(captured.out)
    assert answers.deployment == "north"
    assert captured.out.count("// ") > 30
    token = captured.err.splitlines()[1].split()[-1]
    key = answers.operators[0].key
    assert digest_key(key.salt, token.partition(".")[2]) == key.digest
    assert token.partition(".")[2] not in captured.out


def test_explain_names_the_answer_behind_each_value():
    lines = explain_lines(load_example("kalivati"))
    start = lines.index("services[0].batch_weight = 0.1")
    assert lines[start + 1] == "    applications[0].late_batch = nuisance"
    assert any("slow_reply = unacceptable" in line for line in lines[start:])


def test_diff_identifies_list_items_by_name(tmp_path, capsys):
    old, new = tmp_path / "old.jsonc", tmp_path / "new.jsonc"
    old.write_text(example_text("vezi"))
    text = example_text("vezi").replace('"kranj-b"', '"kranj-c"')
    new.write_text(
        text.replace('"late_batch": "unacceptable"', '"late_batch": "costly"')
    )
    COMMANDS.diff(str(old), str(new))
    assert capsys.readouterr().out.splitlines() == [
        "regions[gorenjska].availability_zones: [kranj-a, kranj-b] -> "
        "[kranj-a, kranj-c]",
        "services[vezi-lm].batch_weight: 0.7 -> 0.5",
    ]


def test_diff_shows_added_values():
    vezi, kalivati = (generate(load_example(n)) for n in ("vezi", "kalivati"))
    changes = {c.path: c for c in diff_configurations(vezi, kalivati)}
    assert changes["services[hive-assist].kind"].old is None
    assert not diff_configurations(
        vezi, decode_configuration(encode_configuration(vezi))
    )


def test_invalid_questionnaire_exits_with_status_2(tmp_path, capsys):
    path = tmp_path / "f.jsonc"
    path.write_text("{}")
    with pytest.raises(SystemExit) as caught:
        COMMANDS.explain(str(path))
    assert caught.value.code == 2
    assert "deployment" in capsys.readouterr().err


SCRIPT = [
    "south",  # region
    "zone-a, zone-b",
    "",  # no other region
    "assistant",  # service
    "",  # a backend server needs a name
    "assistant-1",
    "maybe",  # neither yes nor no
    "y",  # checks fencing
    "",  # no other backend server
    "",  # model
    "n",  # no call
    "n",  # no other service
    "questions",  # application
    "assistant",
    "for tests",
    "soon",  # not a number
    "0",  # not above 0
    "0.5",
    "",
    "",
    "",
    "",
    "unacceptable",  # slow reply
    "nuisance",  # late batch
    "",  # no other application
    "team",  # workspace
    "questions",
    "testers",
    "120",
    "high",
    "",  # no other workspace
    "",  # link: megabits
    "",
    "",
    "y",  # operator
    "eva",
    "admin",
    "",
    "",  # results kept
]


def test_interview_asks_again_until_each_answer_is_valid():
    inputs = iter(SCRIPT)
    shown = []
    answers = ask_answers(
        "south",
        lambda prompt: next(inputs),
        lambda line: shown.append(line) or "",
        lambda holder: make_key(holder).answers,
    )
    assert next(inputs, None) is None
    assert answers.services[0].backend_servers[0].checks_fencing
    assert answers.applications[0].first_reply_s == 0.5
    assert answers.applications[0].slow_reply is Consequence.UNACCEPTABLE
    assert answers.workspaces[0].keys[0].key_id == "team"
    assert answers.operators[0].key.key_id == "eva"
    assert [line for line in shown if line.startswith("  ")] == [
        "  '' is refused: Length of 'name' must be >= 1: 0",
        "  'maybe' is not true or false",
        "  'soon' is not a number",
        "  0 is refused: 'first_reply_s' must be >= 0.001: 0.0",
    ]


def test_interview_writes_a_valid_file(tmp_path, monkeypatch, capsys):
    path = tmp_path / "f.jsonc"
    monkeypatch.setattr(sys, "stdin", io.StringIO("\n".join(SCRIPT) + "\n"))
    with pytest.raises(SystemExit) as caught:
        COMMANDS.ask("south", out=str(path))
    assert caught.value.code == 0
    assert parse_answers(path.read_text()).regions[0].name == "south"
    assert "token of eva, shown only once: eva." in capsys.readouterr().err


def test_printed_key_is_valid_in_a_questionnaire(capsys):
    COMMANDS.key("k7")
    captured = capsys.readouterr()
    text = example_text("vezi")
    start = text.index('"key": {')
    end = text.index("}", start)
    answers = parse_answers(text[: start + 7] + captured.out + text[end + 1 :])
    assert answers.operators[0].key.key_id == "k7"


def test_command_line_loads_no_reactor():
    """A role cannot install its own reactor once another one is imported."""
    source = pathlib.Path(__file__).parent.parent / "src"
    code = (
        "import sys, pomeloshift.cli, pomeloshift.cli._report;"
        "sys.exit('twisted.internet.reactor' in sys.modules)"
    )
    subprocess.run([sys.executable, "-c", code], check=True, cwd=source)
