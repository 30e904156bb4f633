"""Benchmark the policy from the command line."""

from pathlib import Path

from ..bench.decisions import measure_decisions
from ..bench.report import (
    compare_with_targets,
    group_results,
    table_lines,
    write_json,
    write_plot,
)
from ..bench.suite import plan_jobs, run_suite


class BenchCommand:
    """Run the policy and its baselines in virtual time."""

    name = "bench"

    def __call__(
        self, json_path: str = "build/bench.json", plot_path: str = ""
    ) -> None:
        """Print the results and targets and write them as JSON.

        Also write a plot if ``plot_path`` is set.
        """
        costs = measure_decisions()
        outcomes = run_suite(plan_jobs())
        groups = group_results(outcomes)
        measured_targets = compare_with_targets(groups, costs)
        print("\n".join(table_lines(groups)))
        print("\ncost of a decision")
        for cost in costs:
            print(
                f"{cost.engines:6} engines {cost.daemons:4} daemons"
                f" request p50 {cost.request_microseconds_p50:6.1f} us"
                f" p99 {cost.request_microseconds_p99:6.1f} us"
                f" release p50 {cost.release_microseconds_p50:6.1f} us"
                f" state {cost.state_bytes / 1e6:6.2f} MB"
            )
        print("\ntargets")
        for target in measured_targets:
            verdict = "met" if target.met else "MISSED"
            print(f"{target.name:55}{target.bound:>9}{target.measured:>10}  {verdict}")
        write_json(Path(json_path), outcomes, costs, measured_targets)
        if plot_path:
            write_plot(Path(plot_path), groups)
