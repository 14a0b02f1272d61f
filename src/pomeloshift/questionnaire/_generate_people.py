"""Derives workspaces and keys from the answers."""

import math

from ..config import ApiKeyConfig, OperatorKeyConfig, WorkspaceConfig
from ._choices import Importance
from ._trace import Ref, Trace

SECONDS_PER_MINUTE = 60
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
    """Returns a workspace whose limits leave room for bursts above its busiest minute.

    Its concurrency is what that rate keeps open if each answer takes as long as the
    most patient of its applications allows.
    """
    path = f"workspaces[{index}]"
    answers = workspace.owner
    rate = BURST_FACTOR * answers.busiest_minute_requests / SECONDS_PER_MINUTE
    used = [
        app
        for app in ref.parts("applications")
        if app.owner.name in answers.applications
    ]
    patience_s = max(app.owner.give_up_s for app in used)
    busiest = workspace.source("busiest_minute_requests")
    return WorkspaceConfig(
        name=trace.note(f"{path}.name", answers.name, workspace.source("name")),
        share=trace.note(
            f"{path}.share",
            SHARE_BY_IMPORTANCE[answers.importance],
            workspace.source("importance"),
        ),
        requests_per_s=trace.note(f"{path}.requests_per_s", round(rate, 3), busiest),
        concurrency=trace.note(
            f"{path}.concurrency",
            max(MIN_CONCURRENCY, math.ceil(rate * patience_s)),
            busiest,
            workspace.source("applications"),
            *[app.source("give_up_s") for app in used],
        ),
    )


def make_api_keys(ref: Ref, trace: Trace) -> tuple[ApiKeyConfig, ...]:
    """Returns the keys of all workspaces."""
    keys: list[ApiKeyConfig] = []
    for workspace in ref.parts("workspaces"):
        for key in workspace.parts("keys"):
            path = f"api_keys[{len(keys)}]"
            name = workspace.owner.name
            keys.append(
                ApiKeyConfig(
                    trace.note(
                        f"{path}.key_id", key.owner.key_id, key.source("key_id")
                    ),
                    trace.note(f"{path}.workspace", name, workspace.source("name")),
                    trace.note(f"{path}.salt", key.owner.salt, key.source("salt")),
                    trace.note(
                        f"{path}.digest", key.owner.digest, key.source("digest")
                    ),
                    trace.note(f"{path}.issued_by", "", key.source("key_id")),
                )
            )
    return tuple(keys)


def make_operator_keys(ref: Ref, trace: Trace) -> tuple[OperatorKeyConfig, ...]:
    """Returns the tokens of all operators."""
    keys: list[OperatorKeyConfig] = []
    for operator in ref.parts("operators"):
        path = f"operator_keys[{len(keys)}]"
        key = operator.part("key")
        name, role = operator.owner.name, operator.owner.role.value
        keys.append(
            OperatorKeyConfig(
                trace.note(f"{path}.key_id", key.owner.key_id, key.source("key_id")),
                trace.note(f"{path}.operator", name, operator.source("name")),
                trace.note(f"{path}.role", role, operator.source("role")),
                trace.note(f"{path}.salt", key.owner.salt, key.source("salt")),
                trace.note(f"{path}.digest", key.owner.digest, key.source("digest")),
                trace.note(f"{path}.issued_by", "", key.source("key_id")),
            )
        )
    return tuple(keys)
