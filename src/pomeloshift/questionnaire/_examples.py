"""The questionnaires of two real deployments, as examples."""

from importlib import resources

from ..errors import ErrorCode, PomeloshiftError, Ran
from ._answers import Answers
from ._parse import parse_answers

EXAMPLE_NAMES = ("kalivati", "vezi")


class UnknownExampleError(PomeloshiftError):
    """There is no example of that name."""

    code = ErrorCode.NOT_FOUND
    ran = Ran.NO


def example_text(name: str) -> str:
    """Returns the text of the example ``vezi`` or ``kalivati``."""
    if name not in EXAMPLE_NAMES:
        raise UnknownExampleError(
            f"there is no example {name!r}; there are {', '.join(EXAMPLE_NAMES)}"
        )
    package = resources.files(__package__ or "")
    return (package / "examples" / f"{name}.jsonc").read_text("utf-8")


def load_example(name: str) -> Answers:
    """Returns the answers of an example."""
    return parse_answers(example_text(name), f"{name}.jsonc")
