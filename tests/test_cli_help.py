import subprocess
import sys

import pytest

from pomeloshift.cli._commands import Commands

GROUPS = ("bench", "job", "key", "questionnaire", "report", "standin")


def run(*arguments):
    done = subprocess.run(
        [sys.executable, "-m", "pomeloshift", *arguments],
        capture_output=True,
        text=True,
        env={"PYTHONPATH": "src", "PATH": ""},
        timeout=120,
    )
    return done.stdout + done.stderr


def test_help_lists_every_command_and_group():
    text = run("--help")
    commands = [name for name in vars(Commands) if not name.startswith("_")]
    for name in (*commands, *GROUPS):
        assert f"     {name}\n" in text


@pytest.mark.parametrize("command", ["entry", "sidecar", "check", "demo", "publish"])
def test_help_of_a_command_explains_its_arguments(command):
    text = run(command, "--help")
    assert "NAME" in text and "DESCRIPTION" in text
    assert "ARGUMENTS" in text or "FLAGS" in text


def test_version_is_printed():
    assert run("--version").startswith("pomeloshift 0.")
