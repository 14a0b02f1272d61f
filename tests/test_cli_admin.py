import json

import pytest

from _admin import INTERNAL_KEY, SECRETS, Harness, Loop, questionnaire
from pomeloshift.cli import _operate, _publish, _status
from pomeloshift.cli._admin_client import AdminClient
from pomeloshift.cli._connect import run_and_print_errors

ADMIN = f"op-admin.{SECRETS['admin']}"


@pytest.fixture
def entry(reactor, run_async):
    loop = Loop(reactor, run_async)
    harness = Harness(loop)
    yield harness
    loop.run(harness.listener.stop)


@pytest.fixture
def run(entry, capsys):
    """Runs a command and returns its exit code and its output."""

    def run(command, *args, token=ADMIN, address=None, **options):
        url = f"http://{address or entry.listener.address}"
        client = AdminClient(url, token, entry.loop.reactor)
        coroutine = run_and_print_errors(lambda c: command(c, *args, **options), client)
        code = entry.loop.run(lambda: coroutine)
        captured = capsys.readouterr()
        return code, captured.out + captured.err

    return run


@pytest.fixture
def published(entry, run):
    entry.fleet.versions = {"e1": 1, "b1": 1}
    text = questionnaire()
    code, output = run(_publish.publish, text, 0, "", 5.0, token=INTERNAL_KEY)
    assert code == 0, output
    assert "version 1 accepted" in output
    assert "version 1 in force everywhere" in output
    return entry


def test_publish_names_the_instances_without_the_version(published, run):
    published.fleet.versions["b1"] = 0
    text = questionnaire(results_kept_days=3.0)
    code, output = run(_publish.publish, text, 1, "", 0.0)
    assert code == 1
    assert "version 2 accepted" in output
    assert "not in force on: b1, e1" in output


def test_publish_on_an_old_base_names_the_version_in_force(published, run):
    code, output = run(_publish.publish, questionnaire(), 0, "", 0.0)
    assert code == 1
    assert "error config_conflict" in output
    assert "the version in force is 1" in output


def test_publish_prints_every_fault(published, run):
    text = questionnaire().replace('"kind": "plain"', '"kind": 1')
    text = text.replace('"results_kept_days": 7', '"results_kept_days": -1')
    code, output = run(_publish.publish, text, 1, "", 0.0)
    assert code == 1
    assert "services[1].kind" in output
    assert "results_kept_days" in output


def test_status_shows_versions_by_instance(published, run):
    code, output = run(_status.show_status, False)
    assert code == 0
    assert "deployment vezi, version 1" in output
    assert "in force on all instances" in output
    published.fleet.versions["b1"] = 0
    code, output = run(_status.show_status, True)
    assert code == 1
    assert json.loads(output)["lacking"] == ["b1"]


def test_keys_are_issued_rotated_and_revoked(published, run):
    _, output = run(_operate.issue_key, "order-desk", "", "viewer")
    token = output.split()[-1]
    key_id = token.partition(".")[0]
    assert published.auth.workspace_for(f"Bearer {token}") == "order-desk"
    _, output = run(_operate.rotate_key, key_id)
    new_id = output.split()[-1].partition(".")[0]
    _, output = run(_operate.list_keys)
    assert new_id in output
    assert key_id not in output
    code, output = run(_operate.revoke_key, new_id)
    assert (code, output) == (0, f"key {new_id} is revoked in version 4\n")


def test_drain_waits_until_the_instance_has_left(published, run):
    code, output = run(_operate.drain, "b1", 0.0)
    assert (code, output) == (0, "b1 is draining\n")
    versions = published.fleet.versions

    def leave():
        del versions["b1"]

    published.loop.reactor.callFromThread(published.loop.reactor.callLater, 0.1, leave)
    code, output = run(_operate.drain, "b1", 30.0)
    assert code == 0
    assert "b1 has left" in output


def test_drain_fails_when_the_wait_expires(published, run):
    code, output = run(_operate.drain, "b1", 0.001)
    assert code == 1
    assert "has not left" in output


def test_jobs_are_listed_shown_and_cancelled(published, run):
    assert "order-desk" in run(_operate.list_jobs, "", 10)[1]
    assert json.loads(run(_operate.show_job, "j1")[1])["state"] == "running"
    output = run(_operate.show_job, "j1", cancel=True)[1]
    assert json.loads(output)["state"] == "cancelled"
    code, output = run(_operate.show_job, "j9")
    assert code == 1
    assert "error not_found" in output


def test_unreachable_entry_is_named(run):
    code, output = run(_status.show_status, False, address="127.0.0.1:1")
    assert code == 1
    assert "error not_ready: no response from http://127.0.0.1:1" in output
