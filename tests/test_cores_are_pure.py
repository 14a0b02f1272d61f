"""The decision cores do no I/O and read no clock, so that they run in virtual time."""

import ast
import pathlib

import pytest

import pomeloshift

PACKAGE = pathlib.Path(pomeloshift.__file__).parent
CORES = (
    "admission",
    "appends",
    "attempts",
    "batch",
    "capacity",
    "config",
    "dispatch",
    "errors",
    "explain",
    "jobs",
    "limits",
    "log",
    "membership",
    "memory",
    "model",
    "questionnaire",
    "report",
    "routing",
    "wire",
    "workspaces",
)
FORBIDDEN = {
    "asyncio",
    "datetime",
    "klein",
    "os",
    "pynng",
    "random",
    "secrets",
    "select",
    "socket",
    "subprocess",
    "threading",
    "time",
    "treq",
    "twisted",
    "uuid",
}


def core_modules():
    return sorted(
        path.relative_to(PACKAGE).as_posix()
        for core in CORES
        for path in (PACKAGE / core).rglob("*.py")
    )


def imported_packages(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.level == 0:
            yield node.module.split(".")[0]


def imports_only_the_random_class(path):
    names = [
        alias.name
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.ImportFrom) and node.module == "random"
        for alias in node.names
    ]
    return bool(names) and set(names) == {"Random"}


@pytest.mark.parametrize("module", core_modules())
def test_core_has_no_io_clock_or_global_random(module):
    path = PACKAGE / module
    forbidden = FORBIDDEN & set(imported_packages(path))
    if imports_only_the_random_class(path):
        forbidden -= {"random"}
    assert not forbidden
