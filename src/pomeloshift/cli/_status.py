"""Prints all instances and the configuration version in force on each."""

import msgspec

from ..admin import InstanceList, StatusView
from ._admin_client import AdminClient
from ._table import format_table


async def show_status(client: AdminClient, as_json: bool) -> int:
    """Prints the status; returns 1 if the version is not in force on all instances."""
    status = await client.call("GET", "/status", StatusView)
    fleet = await client.call("GET", "/instances", InstanceList)
    if as_json:
        body = {**msgspec.to_builtins(status), **msgspec.to_builtins(fleet)}
        print(msgspec.json.encode(body).decode())
    else:
        print(f"deployment {status.deployment or '(none)'}, version {status.version}")
        print(format_table(_rows(fleet)))
        lacking = ", ".join(status.lacking)
        print(f"lacking: {lacking}" if lacking else "in force on all instances")
    return 1 if status.lacking else 0


def _rows(fleet: InstanceList) -> list[tuple[str, ...]]:
    rows: list[tuple[str, ...]] = [
        ("name", "role", "service", "zone", "state", "version", "seen s ago")
    ]
    for item in sorted(fleet.instances, key=lambda i: (i.role, i.name)):
        rows.append(
            (
                item.name,
                item.role,
                item.service,
                item.availability_zone,
                item.state,
                str(item.config_version),
                f"{item.seen_s:.1f}",
            )
        )
    return rows
