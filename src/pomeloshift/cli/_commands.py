"""The commands of the program."""

import sys

from ._admin_commands import JobCommands, KeyCommands
from ._bench import BenchCommands
from ._questionnaire import QuestionnaireCommands
from ._report import ReportCommands
from ._standin import StandinCommands


class Commands:
    """Serves online and batch inference on one fleet.

    Run ``pomeloshift COMMAND --help`` for the arguments of a command.
    """

    def __init__(self) -> None:
        self.standin = StandinCommands()
        self.bench = BenchCommands()
        self.questionnaire = QuestionnaireCommands()
        self.key = KeyCommands()
        self.job = JobCommands()
        self.report = ReportCommands()

    def entry(self, settings: str) -> None:
        """Runs an entry instance.

        Args:
            settings: path of its settings file, JSON with comments.
        """
        from ._roles import run_entry

        sys.exit(run_entry(settings))

    def gateway(self, settings: str = "") -> None:
        """Runs a gateway, the entry of a deployment on the users' platform.

        Args:
            settings: path of the settings file that the platform writes; without it
                the one that POMELOSHIFT_CONFIG names.
        """
        from ..gateway import run_gateway

        sys.exit(run_gateway(settings))

    def explain(self, wanted: str, *files: str) -> None:
        """Prints the log lines about a request, a job or an item.

        The decisive line, which determined the outcome, comes first. The exit code is
        1 if there is no line about the id.

        Args:
            wanted: the id of a request, a job or an item.
            files: paths of log files of gateways.
        """
        from ._explain import explain_id

        sys.exit(explain_id(str(wanted), files))

    def sidecar(self, settings: str) -> None:
        """Runs the sidecar of a backend server.

        Args:
            settings: path of its settings file, JSON with comments.
        """
        from ._roles import run_sidecar

        sys.exit(run_sidecar(settings))

    def check(self, file: str, kind: str = "") -> None:
        """Prints every fault of a settings or questionnaire file.

        Args:
            file: the file to check.
            kind: questionnaire, entry, sidecar, engine, log, list, weights or
                service, or, in TOML, deploy or gateway; inferred from the file's
                keys by default.
        """
        from ._check import check

        sys.exit(check(file, kind))

    def publish(
        self,
        file: str,
        base: int,
        note: str = "",
        wait: float = 18.0,
        entry: str = "",
        token: str = "",
    ) -> None:
        """Publishes a questionnaire and waits until it is in force everywhere.

        Args:
            file: path of the questionnaire.
            base: version that the change is based on; 0 for the first one.
            note: remark for the history.
            wait: longest time in seconds to wait for all instances.
            entry: URL of an entry; POMELOSHIFT_ENTRY by default.
            token: operator's token; POMELOSHIFT_TOKEN by default.
        """
        from ._admin_commands import publish

        publish(file, base, note=note, wait=wait, entry=entry, token=token)

    def status(self, json: bool = False, entry: str = "", token: str = "") -> None:
        """Prints all instances and the configuration version in force on each.

        Args:
            json: print one JSON object instead of a table.
            entry: URL of an entry; POMELOSHIFT_ENTRY by default.
            token: operator's token; POMELOSHIFT_TOKEN by default.
        """
        from ._admin_commands import status

        status(json, entry, token)

    def drain(
        self, name: str, wait: float = 0.0, entry: str = "", token: str = ""
    ) -> None:
        """Drains an instance: it finishes its work and accepts no more.

        Args:
            name: name of the instance.
            wait: longest time in seconds to wait until it has left; 0 does not wait.
            entry: URL of an entry; POMELOSHIFT_ENTRY by default.
            token: operator's token; POMELOSHIFT_TOKEN by default.
        """
        from ._admin_commands import drain

        drain(name, wait, entry, token)

    def load(
        self,
        target: str,
        rate: float = 10.0,
        seconds: float = 10.0,
        seed: int = 1,
        key: str = "",
        model: str = "",
        json: bool = False,
    ) -> None:
        """Sends requests to a running entry at random times with a given mean rate.

        Args:
            target: URL of the entry.
            rate: mean number of requests a second.
            seconds: length of the load in seconds.
            seed: seed of the times and the prompts.
            key: caller's key.
            model: name of the model that the requests address.
            json: print one JSON object instead of a table.
        """
        from ..load import run_command

        sys.exit(run_command(target, rate, seconds, seed, key, model, json))

    def demo(self, json: bool = False, seed: int = 1) -> None:
        """Runs a whole deployment in one process and checks every guarantee.

        Args:
            json: print one JSON object instead of the report.
            seed: seed of the load.
        """
        from ..demo import run_demo

        sys.exit(run_demo(as_json=json, seed=seed))
