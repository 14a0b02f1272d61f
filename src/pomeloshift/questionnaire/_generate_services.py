"""Derives services and backend servers from the answers."""

import math

from ..config import BackendServerConfig, CallPattern, ServiceConfig
from ._explanation import Source
from ._trace import Ref, Trace

TOKENS_PER_WORD = 4 / 3
# Batch weight of a service whose late batch jobs are as severe as its slow replies.
NEUTRAL_WEIGHT = 0.5
# Change of the batch weight for each level of severity between the two.
WEIGHT_PER_LEVEL = 0.2


def make_service(ref: Ref, service: Ref, index: int, trace: Trace) -> ServiceConfig:
    """Returns a service that meets the requirements of all its applications."""
    path = f"services[{index}]"
    applications = [
        app
        for app in ref.parts("applications")
        if app.answers.service == service.answers.name
    ]

    def derived(name: str, source: str, value: float) -> float:
        return trace.record(f"{path}.{name}", value, *_sources(applications, source))

    app_answers = [app.answers for app in applications]
    return ServiceConfig(
        name=trace.record(f"{path}.name", service.answers.name, service.source("name")),
        kind=trace.record(f"{path}.kind", service.answers.kind, service.source("kind")),
        first_token_target_s=derived(
            "first_token_target_s",
            "first_reply_s",
            min(a.first_reply_s for a in app_answers),
        ),
        between_tokens_target_s=derived(
            "between_tokens_target_s",
            "words_per_s",
            round(1 / (max(a.words_per_s for a in app_answers) * TOKENS_PER_WORD), 4),
        ),
        objective=derived(
            "objective", "good_percent", max(a.good_percent for a in app_answers) / 100
        ),
        online_deadline_s=derived(
            "online_deadline_s", "give_up_s", max(a.give_up_s for a in app_answers)
        ),
        batch_weight=_make_batch_weight(path, applications, trace),
        max_output_tokens=trace.record(
            f"{path}.max_output_tokens",
            math.ceil(
                max(a.longest_answer_words for a in app_answers) * TOKENS_PER_WORD
            ),
            *_sources(applications, "longest_answer_words"),
        ),
        unrepeatable_calls=trace.record(
            f"{path}.unrepeatable_calls",
            tuple(
                CallPattern(call.method, call.path_prefix)
                for call in service.answers.unrepeatable_calls
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
            name, checks = server.answers.name, server.answers.checks_fencing
            servers.append(
                BackendServerConfig(
                    trace.record(f"{path}.name", name, server.source("name")),
                    trace.record(
                        f"{path}.service", service.answers.name, service.source("name")
                    ),
                    trace.record(
                        f"{path}.checks_fencing",
                        checks,
                        server.source("checks_fencing"),
                    ),
                )
            )
    return tuple(servers)


def _make_batch_weight(path: str, applications: list[Ref], trace: Trace) -> float:
    late = max(app.answers.late_batch.level for app in applications)
    slow = max(app.answers.slow_reply.level for app in applications)
    weight = NEUTRAL_WEIGHT + WEIGHT_PER_LEVEL * (late - slow)
    sources = _sources(applications, "late_batch") + _sources(
        applications, "slow_reply"
    )
    return trace.record(f"{path}.batch_weight", round(weight, 3), *sources)


def _sources(applications: list[Ref], name: str) -> list[Source]:
    return [app.source(name) for app in applications]
