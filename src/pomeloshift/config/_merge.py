"""Preserves issued and revoked keys when a questionnaire is published again."""

from typing import TypeVar

import attrs

from ._configuration import ApiKeyConfig, Configuration, OperatorKeyConfig

MAX_REVOKED_KEYS = 10_000

Key = TypeVar("Key", ApiKeyConfig, OperatorKeyConfig)


def merge_keys(new: Configuration, in_force: Configuration | None) -> Configuration:
    """Returns ``new`` with the issued and revoked keys of ``in_force``.

    API keys issued over the administration API stay while their workspace exists.
    Revoked keys stay revoked even if the questionnaire still contains them.
    """
    if in_force is None:
        return new
    revoked = tuple(dict.fromkeys(in_force.revoked_keys + new.revoked_keys))
    workspaces = {workspace.name for workspace in new.workspaces}
    api_keys = [
        key
        for key in _merge_lists(new.api_keys, in_force.api_keys, revoked)
        if key.workspace in workspaces
    ]
    return attrs.evolve(
        new,
        api_keys=tuple(api_keys),
        operator_keys=_merge_lists(new.operator_keys, in_force.operator_keys, revoked),
        revoked_keys=revoked[-MAX_REVOKED_KEYS:],
    )


def _merge_lists(
    new: tuple[Key, ...], in_force: tuple[Key, ...], revoked: tuple[str, ...]
) -> tuple[Key, ...]:
    keys = {key.key_id: key for key in in_force if key.issued_by}
    keys |= {key.key_id: key for key in new}
    return tuple(key for key_id, key in keys.items() if key_id not in revoked)
