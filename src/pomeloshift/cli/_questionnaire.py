"""Commands that write, explain and compare questionnaires."""

import sys
from typing import Any

from ..questionnaire import (
    KeyAnswers,
    ask_answers,
    diff_configurations,
    explain,
    generate,
    parse_answers,
    render_answers,
    template_answers,
)
from ..settings import SettingsError, read_text
from ._check import EXIT_FAULTS
from ._keys import make_key


class QuestionnaireCommands:
    """Writes, explains and compares questionnaires."""

    def new(self, deployment: str) -> None:
        """Prints a new questionnaire with every question as a comment.

        It has the digests of a caller's key and of an operator's token. The key and
        the token are printed only once, on standard error.

            pomeloshift questionnaire new --deployment NAME > f.jsonc

        Args:
            deployment: name of the deployment.
        """
        answers = template_answers(
            deployment, _make_and_print_key("team-1"), _make_and_print_key("op-admin")
        )
        print(render_answers(answers), end="")

    def ask(self, deployment: str, out: str = "") -> None:
        """Asks every question on the terminal and writes the questionnaire.

        Args:
            deployment: name of the deployment.
            out: path of the file to write; by default the questionnaire is printed.
        """
        answers = ask_answers(
            deployment, _prompt, _print_to_stderr, _make_and_print_key
        )
        text = render_answers(answers)
        if out:
            with open(out, "w", encoding="utf-8") as file:
                file.write(text)
        else:
            print(text, end="")
        sys.exit(_report_faults(text, out or "questionnaire"))

    def explain(self, file: str) -> None:
        """Prints each generated value and the answers from which it is derived.

        Args:
            file: the questionnaire.
        """
        for line in explain_lines(_read(file)):
            print(line)

    def diff(self, old: str, new: str) -> None:
        """Prints the configuration values that differ between two questionnaires.

        Args:
            old: the questionnaire before the change.
            new: the questionnaire after it.
        """
        before, after = generate(_read(old)), generate(_read(new))
        for change in diff_configurations(before, after):
            print(f"{change.path}: {_show(change.old)} -> {_show(change.new)}")

    def key(self, key_id: str) -> None:
        """Prints a new key for a questionnaire, and its token on standard error.

        Args:
            key_id: id that the token begins with.
        """
        key = _make_and_print_key(key_id)
        print(
            f'{{"key_id": "{key.key_id}", "salt": "{key.salt}", '
            f'"digest": "{key.digest}"}}'
        )


def explain_lines(answers: Any) -> list[str]:
    """Returns the lines of text that explain a generated configuration."""
    lines = []
    for item in explain(answers):
        lines.append(f"{item.path} = {_show(item.value)}")
        for source in item.sources:
            lines.append(f"    {source.path} = {_show(source.answer)}")
            lines.append(f"        {source.question}")
    return lines


def _read(file: str) -> Any:
    try:
        return parse_answers(read_text(file), file)
    except SettingsError as exc:
        print(exc.message, file=sys.stderr)
        sys.exit(EXIT_FAULTS)


def _report_faults(text: str, file: str) -> int:
    try:
        parse_answers(text, file)
    except SettingsError as exc:
        print(exc.message, file=sys.stderr)
        return EXIT_FAULTS
    return 0


def _prompt(text: str) -> str:
    _print_to_stderr(text)
    line = sys.stdin.readline()
    if not line:
        sys.exit("the input ended before the last question")
    return line


def _print_to_stderr(text: str) -> str:
    print(text, file=sys.stderr)
    return ""


def _make_and_print_key(key_id: str) -> KeyAnswers:
    key = make_key(key_id)
    _print_to_stderr(f"token of {key_id}, shown only once: {key.token}")
    return key.answers


def _show(value: Any) -> str:
    if value is None:
        return "(none)"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list | tuple):
        return "[" + ", ".join(_show(item) for item in value) + "]"
    return str(value)
