"""Commands that run the benchmarks."""

import sys


class BenchCommands:
    """Runs a benchmark; those of decisions run in virtual time."""

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
        """Measures batch throughput and its impact on online latency, by policy.

        Args:
            deployment: vezi or kalivati.
            seed: seed of the trace.
            json: print one JSON object instead of a table.
            plot: path of an SVG file to write.
            load: online load as a share of the load that the fleet serves within its
                latency targets.
            duration: simulated time in seconds.
            lag: age in seconds of the engines' reports.
            speeds: relative speeds of the engines, assigned in turn; 1 is normal.
        """
        from ..bench.policy import run_command

        code = run_command(
            deployment, seed, json, plot, load, duration, tuple(speeds), lag
        )
        sys.exit(code)

    def routing(self, seed: int = 1, json: bool = False) -> None:
        """Compares routing rules with stale and missing load reports.

        Args:
            seed: seed of the trace.
            json: print one JSON object instead of a table.
        """
        from ..bench.routing import run_command

        sys.exit(run_command(seed=seed, json=json))

    def overload(self, seed: int = 1, json: bool = False) -> None:
        """Measures goodput at loads of one to four times the capacity.

        Args:
            seed: seed of the trace.
            json: print one JSON object instead of a table.
        """
        from ..bench.overload import run_command

        sys.exit(run_command(seed=seed, json=json))

    def fairness(self, seed: int = 1, json: bool = False) -> None:
        """Measures how a small workspace and a small job fare beside large ones.

        Args:
            seed: seed of the trace.
            json: print one JSON object instead of a table.
        """
        from ..bench.fairness import run_command

        sys.exit(run_command(seed=seed, json=json))

    def faults(self, seed: int = 1, pairs: bool = False, json: bool = False) -> None:
        """Injects faults at each step of the processing and checks the guarantees.

        Args:
            seed: seed of the schedules.
            pairs: also run faults in pairs.
            json: print one JSON object instead of a table.
        """
        from ..bench.faults import run_command

        sys.exit(run_command(seed=seed, pairs=pairs, json=json))

    def batch(self, items: int = 88_000, json: bool = False) -> None:
        """Measures the state of a large job and the log appends for its completions.

        Args:
            items: number of items of the job.
            json: print one JSON object instead of a table.
        """
        from ..bench.batch import run_command

        sys.exit(run_command(items=items, json=json))

    def control(self, json: bool = False) -> None:
        """Measures the cost of control-plane work, by role.

        Args:
            json: print one JSON object instead of a table.
        """
        from ..bench.control import run_command

        sys.exit(run_command(json=json))
