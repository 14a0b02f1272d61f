import inspect
import os
import pathlib
import re
import shlex
import socket
import subprocess
import sys
import typing
from enum import Enum

import attrs
import pytest

from _admin import INTERNAL_KEY, SECRETS, Harness, Loop
from _gateway import settings_table
from pomeloshift.cli._check import check
from pomeloshift.cli._commands import Commands
from pomeloshift.platform import CallerMemorySettings, parse_platform_settings
from pomeloshift.settings import EntrySettings, SettingsError, SidecarSettings

ROOT = pathlib.Path(__file__).parent.parent
PAGES = sorted([ROOT / "README.md", *(ROOT / "docs").rglob("*.md")])
BLOCK = re.compile(r"```(\w+)\n(.*?)```", re.DOTALL)
PORTS = ("7000", "7001", "7002", "8080", "8081", "8090")
LIMIT_S = 120
CALLER_MEMORY_DEFAULTS = {
    "reserveMb": 0,
    "waitMs": 1000,
    "bodyBytesPerS": 4096,
    "bodyPauseMs": 30000,
    "unreadMs": 2000,
}


def blocks(page, language):
    text = (ROOT / "docs/operations" / page).read_text()
    return [body for kind, body in BLOCK.findall(text) if kind == language]


def commands_of(page):
    """Every command line in a page's blocks, fenced or indented."""
    text = page.read_text().replace("\\\n", " ")
    lines = [line for _, body in BLOCK.findall(text) for line in body.splitlines()]
    lines += re.findall(r"^    (.*)$", text, re.MULTILINE)
    for line in lines:
        if line.startswith("pomeloshift ") and "COMMAND" not in line:
            yield re.split(r" (?:[|>&]|2>)", line)[0]


def find_command(words):
    """The function that a command names and the words left for it."""
    found = Commands()
    while words and not inspect.ismethod(found):
        found = getattr(found, words[0])
        words = words[1:]
    return found, words


def settings_rows(cls, prefix=""):
    for field in attrs.fields(cls):
        kind = typing.get_type_hints(cls)[field.name]
        if attrs.has(kind):
            yield from settings_rows(kind, f"{prefix}{field.name}.")
            continue
        yield f"| `{prefix}{field.name}` | {shown_default(field.default)} |"
        if typing.get_origin(kind) is tuple and attrs.has(typing.get_args(kind)[0]):
            item = typing.get_args(kind)[0]
            yield from settings_rows(item, f"{prefix}{field.name}[].")


def shown_default(default):
    if default is attrs.NOTHING:
        return "required"
    if isinstance(default, Enum):
        default = default.value
    if default == "":
        return "empty"
    return f"`{default:g}`" if isinstance(default, float) else f"`{default}`"


def free_ports(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [str(s.getsockname()[1]) for s in sockets]
    for each in sockets:
        each.close()
    return ports


@pytest.fixture
def shell(tmp_path):
    """Runs lines of a page with the program on the path; ends its processes."""
    program = tmp_path / "bin" / "pomeloshift"
    program.parent.mkdir()
    program.write_text(f'#!/bin/sh\nexec {sys.executable} -m pomeloshift "$@"\n')
    program.chmod(0o755)
    path = f"{program.parent}:{os.environ['PATH']}"
    source = str(ROOT / "src")

    def run(script, **variables):
        env = {**os.environ, "PATH": path, "PYTHONPATH": source, **variables}
        trap = "trap 'kill $(jobs -p) 2>/dev/null || true; wait' EXIT\nset -eu\n"
        return subprocess.run(
            ["bash", "-c", trap + script],
            cwd=tmp_path,
            env=env,
            capture_output=True,
            text=True,
            timeout=LIMIT_S,
        )

    return run


@pytest.fixture
def published(reactor, run_async):
    harness = Harness(Loop(reactor, run_async))
    harness.publish(0, token=INTERNAL_KEY)
    harness.fleet.versions = {"e1": 99, "assistant-1": 99}
    yield harness
    run_async(harness.listener.stop())


def test_settings_reference_lists_every_key():
    page = (ROOT / "docs/operations/settings.md").read_text()
    listed = re.findall(r"^(\| `.*?` \| .*? \|)", page, re.MULTILINE)
    gateway = [
        f"| `callerMemory.{key}` | `{default}` |"
        for key, default in CALLER_MEMORY_DEFAULTS.items()
    ]
    assert listed == [
        *settings_rows(EntrySettings),
        *settings_rows(SidecarSettings),
        *gateway,
        "| `placement.learned` | `false` |",
    ]


def test_defaults_of_callers_memory_are_those_of_the_page():
    table = {"callerMemory": CALLER_MEMORY_DEFAULTS, **settings_table("a:1")}
    assert parse_platform_settings(table).caller_memory == CallerMemorySettings()
    fields = attrs.asdict(CallerMemorySettings())
    for key, default in CALLER_MEMORY_DEFAULTS.items():
        table["callerMemory"] = {key: default + 7}
        changed = attrs.asdict(parse_platform_settings(table).caller_memory)
        assert sum(changed[name] != value for name, value in fields.items()) == 1
        table["callerMemory"] = {key: -1}
        with pytest.raises(SettingsError, match=key):
            parse_platform_settings(table)


def test_commands_are_found_in_the_pages():
    found = {
        page.relative_to(ROOT).as_posix(): len(list(commands_of(page)))
        for page in PAGES
    }
    assert found["README.md"] >= 9
    assert found["docs/operations/install.md"] >= 14
    assert found["docs/operations/keys.md"] == 6


@pytest.mark.parametrize(
    "page", PAGES, ids=lambda page: page.relative_to(ROOT).as_posix()
)
def test_every_command_exists_with_its_options(page):
    for command in commands_of(page):
        words = shlex.split(command)[1:]
        if words == ["--version"]:
            continue
        function, rest = find_command(words)
        parameters = inspect.signature(function).parameters
        options = [w[2:].partition("=")[0] for w in rest if w.startswith("--")]
        assert set(options) <= set(parameters), command


def test_installation_page_works_word_for_word(shell, tmp_path):
    ports = dict(zip(PORTS, free_ports(len(PORTS)), strict=True))

    def with_ports(text):
        pattern = "|".join(PORTS)
        return re.sub(rf"\b({pattern})\b", lambda m: ports[m.group()], text)

    for body in blocks("install.md", "jsonc"):
        name = re.match(r"// (\S+)", body).group(1)
        (tmp_path / name).write_text(with_ports(body))
        assert check(str(tmp_path / name)) == 0
    wait = "until curl -sf http://127.0.0.1:8080/healthz; do sleep 0.2; done\n"
    script = []
    for body in blocks("install.md", "sh"):
        script.append(body)
        if "pomeloshift entry" in body:
            script.append(wait)
    done = shell(with_ports("\n".join(script)))
    assert done.returncode == 0, done.stdout[-3000:] + done.stderr[-3000:]
    assert "version 1 in force everywhere" in done.stdout
    assert '"choices"' in done.stdout
    assert "result_retention_s: 604800.0 -> 259200.0" in done.stdout
    assert done.stdout.count("in force on all instances") == 2


@pytest.mark.parametrize("page", ["keys.md", "burn.md", "upgrade.md"])
def test_operators_commands_work_word_for_word(page, published, shell, run_blocking):
    script = "\n".join(blocks(page, "sh")).replace("--wait 60", "--wait 0")
    done = run_blocking(
        shell,
        script,
        POMELOSHIFT_ENTRY=f"http://{published.listener.address}",
        POMELOSHIFT_TOKEN=f"op-admin.{SECRETS['admin']}",
    )
    assert done.returncode == 0, done.stdout[-3000:] + done.stderr[-3000:]
    assert "Traceback" not in done.stderr
