"""Commands that use the administration API."""

from ..settings import read_text
from ._connect import run_command

DEFAULT_WAIT_S = 18.0


class KeyCommands:
    """Issues, revokes and rotates keys of callers and tokens of operators."""

    def list(self, entry: str = "", token: str = "") -> None:
        """Prints all keys in force, without their secrets.

        Args:
            entry: URL of an entry; POMELOSHIFT_ENTRY by default.
            token: operator's token; POMELOSHIFT_TOKEN by default.
        """
        from ._operate import list_keys

        run_command(list_keys, entry, token)

    def issue(
        self,
        workspace: str = "",
        operator: str = "",
        role: str = "viewer",
        entry: str = "",
        token: str = "",
    ) -> None:
        """Issues a key of a workspace or a token of an operator and prints it once.

        Args:
            workspace: workspace of the key; empty for a token.
            operator: operator of the token; empty for a key.
            role: role of the operator: viewer, operator or admin.
            entry: URL of an entry; POMELOSHIFT_ENTRY by default.
            token: operator's token; POMELOSHIFT_TOKEN by default.
        """
        from ._operate import issue_key

        run_command(
            lambda c: issue_key(c, str(workspace), str(operator), str(role)),
            entry,
            token,
        )

    def revoke(self, key_id: str, entry: str = "", token: str = "") -> None:
        """Revokes a key permanently.

        Args:
            key_id: id of the key.
            entry: URL of an entry; POMELOSHIFT_ENTRY by default.
            token: operator's token; POMELOSHIFT_TOKEN by default.
        """
        from ._operate import revoke_key

        run_command(lambda c: revoke_key(c, str(key_id)), entry, token)

    def rotate(self, key_id: str, entry: str = "", token: str = "") -> None:
        """Replaces a key with a new one, prints it once, and revokes the old one.

        Args:
            key_id: id of the key.
            entry: URL of an entry; POMELOSHIFT_ENTRY by default.
            token: operator's token; POMELOSHIFT_TOKEN by default.
        """
        from ._operate import rotate_key

        run_command(lambda c: rotate_key(c, str(key_id)), entry, token)


class JobCommands:
    """Shows and cancels batch jobs of all workspaces."""

    def list(
        self, workspace: str = "", limit: int = 50, entry: str = "", token: str = ""
    ) -> None:
        """Prints the newest jobs.

        Args:
            workspace: workspace of the jobs; all workspaces by default.
            limit: largest number of jobs to print.
            entry: URL of an entry; POMELOSHIFT_ENTRY by default.
            token: operator's token; POMELOSHIFT_TOKEN by default.
        """
        from ._operate import list_jobs

        run_command(lambda c: list_jobs(c, str(workspace), limit), entry, token)

    def show(self, job_id: str, entry: str = "", token: str = "") -> None:
        """Prints a job as JSON.

        Args:
            job_id: id of the job.
            entry: URL of an entry; POMELOSHIFT_ENTRY by default.
            token: operator's token; POMELOSHIFT_TOKEN by default.
        """
        from ._operate import show_job

        run_command(lambda c: show_job(c, str(job_id)), entry, token)

    def cancel(self, job_id: str, entry: str = "", token: str = "") -> None:
        """Cancels a job and prints it.

        Args:
            job_id: id of the job.
            entry: URL of an entry; POMELOSHIFT_ENTRY by default.
            token: operator's token; POMELOSHIFT_TOKEN by default.
        """
        from ._operate import show_job

        run_command(lambda c: show_job(c, str(job_id), cancel=True), entry, token)


def publish(
    file: str,
    base: int,
    note: str = "",
    wait: float = DEFAULT_WAIT_S,
    entry: str = "",
    token: str = "",
) -> None:
    """Publishes a questionnaire and waits until it is in force everywhere.

    Args:
        file: the questionnaire.
        base: version that the change is based on, 0 for the first publication.
        note: remark for the history.
        wait: longest time in seconds to wait for all instances.
        entry: URL of an entry; POMELOSHIFT_ENTRY by default.
        token: operator's token; POMELOSHIFT_TOKEN by default. The first publication
            needs the internal key of the processes instead.
    """
    from ._publish import publish as run

    text = read_text(str(file))
    run_command(lambda c: run(c, text, base, str(note), wait), entry, token)


def status(json: bool = False, entry: str = "", token: str = "") -> None:
    """Prints all instances and the configuration version in force on each.

    Args:
        json: print one JSON object instead of a table.
        entry: URL of an entry; POMELOSHIFT_ENTRY by default.
        token: operator's token; POMELOSHIFT_TOKEN by default.
    """
    from ._status import show_status

    run_command(lambda c: show_status(c, json), entry, token)


def drain(name: str, wait: float = 0.0, entry: str = "", token: str = "") -> None:
    """Drains an instance: it finishes its work and accepts no more.

    Args:
        name: name of the instance.
        wait: longest time in seconds to wait until it has left; 0 does not wait.
        entry: URL of an entry; POMELOSHIFT_ENTRY by default.
        token: operator's token; POMELOSHIFT_TOKEN by default.
    """
    from ._operate import drain as run

    run_command(lambda c: run(c, str(name), wait), entry, token)
