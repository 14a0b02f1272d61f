"""Commands for keys, batch jobs and draining."""

from urllib.parse import quote

import msgspec

from ..admin import (
    DrainAnswer,
    InstanceList,
    IssueAnswer,
    IssueRequest,
    JobList,
    JobView,
    KeyList,
)
from ..admin._messages import ChangeAnswer
from ._admin_client import AdminClient
from ._connect import EXIT_FAILURE
from ._table import format_table

POLL_INTERVAL_S = 0.5
GONE_STATES = ("drained", "gone")


async def list_keys(client: AdminClient) -> int:
    """Prints all keys in force."""
    keys = await client.call("GET", "/keys", KeyList)
    rows = [("key", "workspace", "operator", "role", "issued by")]
    for key in keys.keys:
        rows.append((key.key_id, key.workspace, key.operator, key.role, key.issued_by))
    print(format_table(rows))
    return 0


async def issue_key(
    client: AdminClient, workspace: str, operator: str, role: str
) -> int:
    """Issues a key and prints its token."""
    req = IssueRequest(workspace, operator, role)
    _print_issued(await client.call("POST", "/keys", IssueAnswer, req))
    return 0


async def rotate_key(client: AdminClient, key_id: str) -> int:
    """Replaces a key and prints the token of the new one."""
    path = f"/keys/{quote(key_id, safe='')}/rotate"
    _print_issued(await client.call("POST", path, IssueAnswer))
    return 0


async def revoke_key(client: AdminClient, key_id: str) -> int:
    """Revokes a key."""
    path = f"/keys/{quote(key_id, safe='')}"
    change = await client.call("DELETE", path, ChangeAnswer)
    print(f"key {key_id} is revoked in version {change.version}")
    return 0


async def drain(client: AdminClient, name: str, wait_s: float) -> int:
    """Drains an instance and waits up to ``wait_s`` until it has left.

    Returns the exit code: 1 if it has not left by then, otherwise 0.
    """
    path = f"/instances/{quote(name, safe='')}/drain"
    drained = await client.call("POST", path, DrainAnswer)
    print(f"{drained.name} is {drained.state}")
    until = client.seconds() + wait_s
    while wait_s and not await _has_left(client, name):
        if client.seconds() >= until:
            print(f"{name} has not left after {wait_s:.0f} s")
            return EXIT_FAILURE
        await client.sleep(POLL_INTERVAL_S)
    if wait_s:
        print(f"{name} has left")
    return 0


async def list_jobs(client: AdminClient, workspace: str, limit: int) -> int:
    """Prints the newest jobs of all workspaces or of one."""
    path = f"/jobs?limit={limit}&workspace={quote(workspace, safe='')}"
    jobs = await client.call("GET", path, JobList)
    rows = [("job", "workspace", "state", "items", "completed", "failed")]
    for job in jobs.jobs:
        numbers = (str(job.items), str(job.completed), str(job.failed))
        rows.append((job.job_id, job.workspace, job.state, *numbers))
    print(format_table(rows))
    return 0


async def show_job(client: AdminClient, job_id: str, cancel: bool = False) -> int:
    """Prints a job as JSON; with ``cancel`` cancels it first."""
    path = f"/jobs/{quote(job_id, safe='')}"
    if cancel:
        job = await client.call("POST", f"{path}/cancel", JobView)
    else:
        job = await client.call("GET", path, JobView)
    print(msgspec.json.encode(job).decode())
    return 0


async def _has_left(client: AdminClient, name: str) -> bool:
    fleet = await client.call("GET", "/instances", InstanceList)
    found = [item for item in fleet.instances if item.name == name]
    return not found or found[0].state in GONE_STATES


def _print_issued(issued: IssueAnswer) -> None:
    print(f"key {issued.key_id} in version {issued.version}")
    print(f"token, shown only once: {issued.token}")
