"""Derives workspaces and keys from the answers."""

import math

from ..config import ApiKeyConfig, OperatorKeyConfig, WorkspaceConfig
from ._choices import Importance
from ._trace import Ref, Trace

SECONDS_PER_MINUTE = 60
# Rate limits are this multiple of the busiest minute, to leave room for bursts.
BURST_FACTOR = 3
MIN_CONCURRENCY = 8

SHARE_BY_IMPORTANCE = {
    Importance.LOW: 0.5,
    Importance.NORMAL: 1.0,
    Importance.HIGH: 2.0,
}


def make_workspace(
    ref: Ref, workspace: Ref, index: int, trace: Trace
) -> WorkspaceConfig:
    """Returns a workspace with limits above the load of its busiest minute.

    The rate limit is `BURST_FACTOR` times the rate of that minute. The concurrency
    limit is the number of requests open at the rate limit if each response takes the
    longest ``give_up_s`` of the workspace's applications.
    """
    path = f"workspaces[{index}]"
    answers = workspace.answers
    rate = BURST_FACTOR * answers.busiest_minute_requests / SECONDS_PER_MINUTE
    applications = [
        app
        for app in ref.parts("applications")
        if app.answers.name in answers.applications
    ]
    longest_response_s = max(app.answers.give_up_s for app in applications)
    busiest = workspace.source("busiest_minute_requests")
    return WorkspaceConfig(
        name=trace.record(f"{path}.name", answers.name, workspace.source("name")),
        share=trace.record(
            f"{path}.share",
            SHARE_BY_IMPORTANCE[answers.importance],
            workspace.source("importance"),
        ),
        requests_per_s=trace.record(f"{path}.requests_per_s", round(rate, 3), busiest),
        concurrency=trace.record(
            f"{path}.concurrency",
            max(MIN_CONCURRENCY, math.ceil(rate * longest_response_s)),
            busiest,
            workspace.source("applications"),
            *[app.source("give_up_s") for app in applications],
        ),
    )


def make_api_keys(ref: Ref, trace: Trace) -> tuple[ApiKeyConfig, ...]:
    """Returns the keys of all workspaces."""
    keys: list[ApiKeyConfig] = []
    for workspace in ref.parts("workspaces"):
        for key in workspace.parts("keys"):
            path = f"api_keys[{len(keys)}]"
            name = workspace.answers.name
            keys.append(
                ApiKeyConfig(
                    trace.record(
                        f"{path}.key_id", key.answers.key_id, key.source("key_id")
                    ),
                    trace.record(f"{path}.workspace", name, workspace.source("name")),
                    trace.record(f"{path}.salt", key.answers.salt, key.source("salt")),
                    trace.record(
                        f"{path}.digest", key.answers.digest, key.source("digest")
                    ),
                    trace.record(f"{path}.issued_by", "", key.source("key_id")),
                )
            )
    return tuple(keys)


def make_operator_keys(ref: Ref, trace: Trace) -> tuple[OperatorKeyConfig, ...]:
    """Returns the tokens of all operators."""
    keys: list[OperatorKeyConfig] = []
    for operator in ref.parts("operators"):
        path = f"operator_keys[{len(keys)}]"
        key = operator.part("key")
        name, role = operator.answers.name, operator.answers.role.value
        keys.append(
            OperatorKeyConfig(
                trace.record(
                    f"{path}.key_id", key.answers.key_id, key.source("key_id")
                ),
                trace.record(f"{path}.operator", name, operator.source("name")),
                trace.record(f"{path}.role", role, operator.source("role")),
                trace.record(f"{path}.salt", key.answers.salt, key.source("salt")),
                trace.record(
                    f"{path}.digest", key.answers.digest, key.source("digest")
                ),
                trace.record(f"{path}.issued_by", "", key.source("key_id")),
            )
        )
    return tuple(keys)
