"""Answers about services and the backend servers that run them."""

import attrs
from attrs import validators as v

from ..config import ServiceKind
from ..settings import setting


@attrs.frozen
class CallAnswers:
    """A non-idempotent call, which must not be made twice."""

    method: str = setting(
        "Which HTTP method, in capitals? Write * for all.",
        validator=v.matches_re(r"\*|[A-Z]+"),
    )
    path_prefix: str = setting(
        "How does its path begin? For example /send.", validator=v.matches_re(r"/.*")
    )


@attrs.frozen
class BackendServerAnswers:
    """A backend server, and whether it checks fencing tokens."""

    name: str = setting("What is this backend server called?", validator=v.min_len(1))
    checks_fencing: bool = setting(
        "Does it check the fencing token of each command and reject an old one?",
        default=False,
    )


@attrs.frozen
class ServiceAnswers:
    """A service: a model, or another program that is called over HTTP."""

    name: str = setting("What is this service called?", validator=v.min_len(1))
    backend_servers: tuple[BackendServerAnswers, ...] = setting(
        "Which backend servers run it? Name at least one.", validator=v.min_len(1)
    )
    kind: ServiceKind = setting(
        "Is it a model (model) or another program that is called over HTTP (plain)?",
        default=ServiceKind.MODEL,
    )
    unrepeatable_calls: tuple[CallAnswers, ...] = setting(
        "Which of its calls must not be made twice, for example because they send "
        "something?",
        default=(),
    )
