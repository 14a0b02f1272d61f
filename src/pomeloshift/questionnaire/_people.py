"""Answers about callers, their workspaces, and operators."""

import attrs
from attrs import validators as v

from ..settings import setting
from ._choices import Importance, Role


@attrs.frozen
class KeyAnswers:
    """The salted digest of a key; ``pomeloshift questionnaire key`` makes one."""

    key_id: str = setting(
        "Which id does the key begin with? Letters, digits, - and _ only.",
        validator=v.matches_re(r"[A-Za-z0-9_-]+"),
    )
    salt: str = setting("What is its salt?", validator=v.min_len(8))
    digest: str = setting(
        "What is its salted SHA-256 digest, in 64 hexadecimal digits?",
        validator=v.matches_re(r"[0-9a-f]{64}"),
    )


@attrs.frozen
class WorkspaceAnswers:
    """A workspace: callers that share limits and keys."""

    name: str = setting("What is this workspace called?", validator=v.min_len(1))
    applications: tuple[str, ...] = setting(
        "Which applications does it use? Name at least one.", validator=v.min_len(1)
    )
    callers: str = setting("Who calls from it?", default="")
    busiest_minute_requests: float = setting(
        "How many requests does it send in its busiest minute? From 1 to 100000000.",
        default=600.0,
        validator=[v.ge(1), v.le(100_000_000)],
    )
    importance: Importance = setting(
        "How important is it when capacity is short: low, normal or high?",
        default=Importance.NORMAL,
    )
    keys: tuple[KeyAnswers, ...] = setting("Which keys may it use?", default=())


@attrs.frozen
class OperatorAnswers:
    """A person with access to the administration API, and the role of that person."""

    name: str = setting("What is this operator called?", validator=v.min_len(1))
    key: KeyAnswers = setting("Which token does this operator use?")
    role: Role = setting(
        "May this operator read only (viewer), run the deployment (operator) or also "
        "change keys (admin)?",
        default=Role.VIEWER,
    )
