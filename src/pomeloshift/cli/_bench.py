"""Commands that run the benches."""

import sys


class BenchCommands:
    """Runs a bench over the decision cores in virtual time."""

    def policy(
        self,
        deployment: str = "vezi",
        seed: int = 1,
        json: bool = False,
        plot: str | None = None,
        load: float = 0.6,
        duration: float = 600.0,
        lag: float = 0.5,
        speeds: tuple[float, ...] = (1.0,),
    ) -> None:
        """Measures batch throughput and harm to online latency by policy.

        Args:
            deployment: vezi or kalivati.
            seed: seed of the trace.
            json: print one JSON object in place of a table.
            plot: path of an SVG file to draw to.
            load: online load as a share of what the fleet carries within target.
            duration: simulated seconds.
            lag: age in seconds of the engines' reports.
            speeds: speeds of the engines in turn, 1 for the usual one.
        """
        from ..bench.policy import run_command

        code = run_command(
            deployment, seed, json, plot, load, duration, tuple(speeds), lag
        )
        sys.exit(code)

    def routing(self, seed: int = 1, json: bool = False) -> None:
        """Compares routing rules under stale and missing reports.

        Args:
            seed: seed of the trace.
            json: print one JSON object in place of a table.
        """
        from ..bench.routing import run_command

        sys.exit(run_command(seed=seed, json=json))

    def overload(self, seed: int = 1, json: bool = False) -> None:
        """Measures goodput from one to four times the capacity.

        Args:
            seed: seed of the trace.
            json: print one JSON object in place of a table.
        """
        from ..bench.overload import run_command

        sys.exit(run_command(seed=seed, json=json))

    def fairness(self, seed: int = 1, json: bool = False) -> None:
        """Measures a small workspace and a small job beside large ones.

        Args:
            seed: seed of the trace.
            json: print one JSON object in place of a table.
        """
        from ..bench.fairness import run_command

        sys.exit(run_command(seed=seed, json=json))

    def faults(self, seed: int = 1, pairs: bool = False, json: bool = False) -> None:
        """Runs the table of steps and faults.

        Args:
            seed: seed of the schedules.
            pairs: also run faults in pairs.
            json: print one JSON object in place of a table.
        """
        from ..bench.faults import run_command

        sys.exit(run_command(seed=seed, pairs=pairs, json=json))

    def batch(self, items: int = 88_000, json: bool = False) -> None:
        """Measures the state of a large job and the appends of its completions.

        Args:
            items: number of items of the job.
            json: print one JSON object in place of a table.
        """
        from ..bench.batch import run_command

        sys.exit(run_command(items=items, json=json))

    def control(self, json: bool = False) -> None:
        """Measures the cost of control work by role.

        Args:
            json: print one JSON object in place of a table.
        """
        from ..bench.control import run_command

        sys.exit(run_command(json=json))
