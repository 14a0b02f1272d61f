"""The command that prints every fault of a file."""

import sys

from ..platform import check_deploy_file, parse_platform_settings, parse_toml
from ..questionnaire import parse_answers
from ..settings import SettingsError, parse_json, parse_settings, read_text
from ._kinds import QUESTIONNAIRE, UnknownKindError, class_of, guess_kind

EXIT_FAULTS = 2
# Kinds of the files of the users' platform, which are TOML.
DEPLOY = "deploy"
GATEWAY = "gateway"


def check(file: str, kind: str = "") -> int:
    """Prints every fault of a settings or questionnaire file.

    Each line gives the file, the line, the key, what is wrong, how to correct it and
    the code of the fault.

    Args:
        file: The file to check.
        kind: What the file is: questionnaire, entry, sidecar, engine, log, list,
            weights or service, or, in TOML, deploy or gateway. Without it the kind is
            inferred from the file's keys.

    Returns the exit code: 0 without faults and 2 with faults.
    """
    try:
        text = read_text(file)
        kind = kind or _guess_kind(text, file)
        _parse(text, file, kind)
    except SettingsError as exc:
        for fault in exc.faults:
            print(fault.describe(file), file=sys.stderr)
        print(f"{file}: {len(exc.faults)} faults", file=sys.stderr)
        return EXIT_FAULTS
    except UnknownKindError as exc:
        print(exc.message, file=sys.stderr)
        return EXIT_FAULTS
    print(f"{file}: a valid {kind} file")
    return 0


def _guess_kind(text: str, file: str) -> str:
    if not file.endswith(".toml"):
        return guess_kind(parse_json(text, file))
    # Only the deploy file has a table of roles.
    return DEPLOY if "[roles" in text else GATEWAY


def _parse(text: str, file: str, kind: str) -> None:
    if kind == QUESTIONNAIRE:
        parse_answers(text, file)
    elif kind == DEPLOY:
        check_deploy_file(text, file)
    elif kind == GATEWAY:
        parse_platform_settings(parse_toml(text, file), file)
    else:
        parse_settings(text, class_of(kind), file)
