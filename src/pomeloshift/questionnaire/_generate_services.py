"""Derives services and backend servers from the answers."""

import math

from ..config import BackendServerConfig, CallPattern, ServiceConfig
from ._explanation import Source
from ._trace import Ref, Trace

TOKENS_PER_WORD = 4 / 3
NEUTRAL_WEIGHT = 0.5
WEIGHT_PER_LEVEL = 0.2


def make_service(ref: Ref, service: Ref, index: int, trace: Trace) -> ServiceConfig:
    """Returns a service with the strictest wishes of its applications."""
    path = f"services[{index}]"
    users = [
        app
        for app in ref.parts("applications")
        if app.owner.service == service.owner.name
    ]

    def strictest(name: str, source: str, value: float) -> float:
        return trace.note(f"{path}.{name}", value, *_sources(users, source))

    owners = [user.owner for user in users]
    return ServiceConfig(
        name=trace.note(f"{path}.name", service.owner.name, service.source("name")),
        kind=trace.note(f"{path}.kind", service.owner.kind, service.source("kind")),
        first_token_target_s=strictest(
            "first_token_target_s",
            "first_reply_s",
            min(o.first_reply_s for o in owners),
        ),
        between_tokens_target_s=strictest(
            "between_tokens_target_s",
            "words_per_s",
            round(1 / (max(o.words_per_s for o in owners) * TOKENS_PER_WORD), 4),
        ),
        objective=strictest(
            "objective", "good_percent", max(o.good_percent for o in owners) / 100
        ),
        online_deadline_s=strictest(
            "online_deadline_s", "give_up_s", max(o.give_up_s for o in owners)
        ),
        batch_weight=_make_batch_weight(path, users, trace),
        max_output_tokens=trace.note(
            f"{path}.max_output_tokens",
            math.ceil(max(o.longest_answer_words for o in owners) * TOKENS_PER_WORD),
            *_sources(users, "longest_answer_words"),
        ),
        unrepeatable_calls=trace.note(
            f"{path}.unrepeatable_calls",
            tuple(
                CallPattern(call.method, call.path_prefix)
                for call in service.owner.unrepeatable_calls
            ),
            service.source("unrepeatable_calls"),
        ),
    )


def make_backend_servers(ref: Ref, trace: Trace) -> tuple[BackendServerConfig, ...]:
    """Returns the backend servers of all services."""
    servers: list[BackendServerConfig] = []
    for service in ref.parts("services"):
        for server in service.parts("backend_servers"):
            path = f"backend_servers[{len(servers)}]"
            name, checks = server.owner.name, server.owner.checks_fencing
            servers.append(
                BackendServerConfig(
                    trace.note(f"{path}.name", name, server.source("name")),
                    trace.note(
                        f"{path}.service", service.owner.name, service.source("name")
                    ),
                    trace.note(
                        f"{path}.checks_fencing",
                        checks,
                        server.source("checks_fencing"),
                    ),
                )
            )
    return tuple(servers)


def _make_batch_weight(path: str, users: list[Ref], trace: Trace) -> float:
    late = max(user.owner.late_batch.level for user in users)
    slow = max(user.owner.slow_reply.level for user in users)
    weight = NEUTRAL_WEIGHT + WEIGHT_PER_LEVEL * (late - slow)
    sources = _sources(users, "late_batch") + _sources(users, "slow_reply")
    return trace.note(f"{path}.batch_weight", round(weight, 3), *sources)


def _sources(users: list[Ref], name: str) -> list[Source]:
    return [user.source(name) for user in users]
