"""Report the bench's results as a table, a JSON file and a plot."""

import json
from collections.abc import Iterable
from pathlib import Path

import numpy as np
from attrs import asdict, frozen

from .decisions import DecisionCost
from .suite import POLICIES, JobResult

MIN_STEADY_REUSE = 0.95
MIN_CHURN_REUSE = 0.90
MIN_IN_TIME_SHARE = 0.95
MAX_GROWTH_RATIO = 1.10
MAX_DECISION_MICROSECONDS = 50.0
MAX_GRANT_BYTES_PER_SECOND = 2000.0
REQUESTS_PER_SECOND = 47.0


@frozen
class ResultGroup:
    """Group the runs of one policy in one scenario, with different seeds.

    A figure's name is that of a field of ``Result``.
    """

    fleet: str
    fault: str
    policy: str
    job_results: tuple[JobResult, ...]

    def mean(self, name: str) -> float:
        """Return a figure's mean over the seeds."""
        return float(
            np.mean(
                [getattr(job_result.result, name) for job_result in self.job_results]
            )
        )

    def spread(self, name: str) -> float:
        """Return the range of a figure over the seeds."""
        return float(
            np.ptp(
                [getattr(job_result.result, name) for job_result in self.job_results]
            )
        )

    def maximum(self, name: str) -> float:
        """Return a figure's greatest value over the seeds."""
        return float(
            max(getattr(job_result.result, name) for job_result in self.job_results)
        )

    def reuse_in_phase(self, phase: str) -> float:
        """Return the mean reuse in a phase, over the seeds."""
        reuse = [
            job_result.result.reuse_by_phase[phase] for job_result in self.job_results
        ]
        return float(np.mean(reuse))


def group_results(job_results: Iterable[JobResult]) -> list[ResultGroup]:
    """Group the results of runs that differ only in their seeds."""
    results_by_key: dict[tuple[str, str, str], list[JobResult]] = {}
    for job_result in job_results:
        job = job_result.job
        key = (job.fleet, job.scenario.fault.value, job.policy)
        results_by_key.setdefault(key, []).append(job_result)
    groups = [
        ResultGroup(*key, tuple(results)) for key, results in results_by_key.items()
    ]
    return sorted(
        groups,
        key=lambda group: (group.fleet, group.fault, POLICIES.index(group.policy)),
    )


def table_lines(groups: list[ResultGroup]) -> list[str]:
    """Return a table with a line for each group, below a header line."""
    lines = [
        f"{'fleet':12}{'scenario':9}{'policy':13}{'reuse ±':>12}{'before':>7}"
        f"{'during':>7}{'after':>7}{'p50':>7}{'p95':>7}{'p99':>7}{'tok95':>7}"
        f"{'max':>6}{'p99':>6}{'>cap':>6}{'most':>5}{'cold':>6}{'cut':>5}"
        f"{'out':>5}{'refuse':>8}{'B/req':>7}"
    ]
    lines.extend(_table_row(group) for group in groups)
    return lines


def _table_row(group: ResultGroup) -> str:
    return (
        f"{group.fleet:12}{group.fault:9}{group.policy:13}"
        f"{group.mean('reuse'):7.3f}{group.spread('reuse'):5.2f}"
        f"{group.reuse_in_phase('before'):7.3f}{group.reuse_in_phase('during'):7.3f}"
        f"{group.reuse_in_phase('after'):7.3f}{group.mean('interactive_p50'):7.3f}"
        f"{group.mean('interactive_p95'):7.3f}{group.mean('interactive_p99'):7.3f}"
        f"{group.mean('token_p95'):7.3f}{group.maximum('skew_max'):6.2f}"
        f"{group.mean('skew_p99'):6.2f}{group.mean('above_cap'):6.0f}"
        f"{group.maximum('most_above_cap'):5.0f}{group.mean('cold_overruns'):6.1f}"
        f"{group.mean('cut'):5.1f}{group.maximum('work_for_zones_out'):5.0f}"
        f"{group.mean('refused'):8.4f}{group.mean('bytes_per_turn'):7.1f}"
    )


@frozen
class Target:
    """Compare a measured value with its target."""

    name: str
    bound: str
    measured: str
    met: bool


def compare_with_targets(
    groups: list[ResultGroup], costs: list[DecisionCost]
) -> list[Target]:
    """Return each target with the value measured for it."""
    groups_by_key = {
        (group.fleet, group.fault, group.policy): group for group in groups
    }
    return [
        target
        for fleet in ("Bergschuh", "Collective")
        for target in _fleet_targets(fleet, groups_by_key)
    ] + _cost_targets(costs)


def _fleet_targets(fleet: str, groups_by_key: dict) -> list[Target]:
    by_fault = {
        fault: groups_by_key[fleet, fault, "teaselpond"]
        for fault in ("steady", "zone", "churn", "surge")
    }

    def reuse(fault: str) -> float:
        oracle_reuse = groups_by_key[fleet, fault, "oracle"].mean("reuse")
        return by_fault[fault].mean("reuse") / oracle_reuse

    growth = by_fault["surge"].mean("other_p95") / by_fault["steady"].mean("other_p95")
    in_time = by_fault["zone"].mean("in_time_during")
    admissions_above_cap = max(
        group.maximum("above_cap") for group in by_fault.values()
    )
    max_excess = max(group.maximum("most_above_cap") for group in by_fault.values())
    cold_overruns = max(group.maximum("cold_overruns") for group in by_fault.values())
    cut = by_fault["zone"].maximum("cut")
    late_submissions = by_fault["zone"].maximum("work_for_zones_out")
    leaked = sum(
        job_result.leaked_slots
        for group in by_fault.values()
        for job_result in group.job_results
    )
    bytes_per_second = by_fault["steady"].mean("bytes_per_turn") * REQUESTS_PER_SECOND
    return [
        _at_least(f"{fleet}: reuse over the oracle's, steady", MIN_STEADY_REUSE,
                  reuse("steady")),
        _at_least(f"{fleet}: the same, zone out and in", MIN_CHURN_REUSE,
                  reuse("zone")),
        _at_least(f"{fleet}: the same, a tenth replaced", MIN_CHURN_REUSE,
                  reuse("churn")),
        _at_least(f"{fleet}: first tokens in 1.5 s, zone", MIN_IN_TIME_SHARE, in_time),
        _at_most(f"{fleet}: admissions above the cap in a run", 0,
                 admissions_above_cap),
        _at_most(f"{fleet}: most requests above the cap", 0, max_excess),
        _at_most(f"{fleet}: admissions above the cold limit", 0, cold_overruns),
        _at_most(f"{fleet}: answers cut by a zone's leave", 0, cut),
        _at_most(f"{fleet}: work for a zone out, after 2 s", 0, late_submissions),
        _at_most(f"{fleet}: slots leaked", 0, leaked),
        _at_most(f"{fleet}: others' p95 in a surge, over steady", MAX_GROWTH_RATIO,
                 growth),
        _at_most(f"{fleet}: grant bytes/s at 47 requests/s", MAX_GRANT_BYTES_PER_SECOND,
                 bytes_per_second),
    ]  # fmt: skip


def _cost_targets(costs: list[DecisionCost]) -> list[Target]:
    highest_cost = max(cost.request_microseconds_p50 for cost in costs)
    smallest = costs[0].request_microseconds_p50
    growth = costs[-1].request_microseconds_p50 / smallest
    return [
        _at_most(
            "decision, median microseconds", MAX_DECISION_MICROSECONDS, highest_cost
        ),
        _at_most("decision, 7,400 engines over 22", MAX_GROWTH_RATIO, growth),
    ]


def _at_least(name: str, bound: float, measured: float) -> Target:
    return Target(name, f">= {bound:g}", f"{measured:.3f}", measured >= bound)


def _at_most(name: str, bound: float, measured: float) -> Target:
    return Target(name, f"<= {bound:g}", f"{measured:.3f}", measured <= bound)


def write_json(
    path: Path,
    job_results: list[JobResult],
    costs: list[DecisionCost],
    targets: list[Target],
) -> None:
    """Write all runs, decision costs and targets to a JSON file."""
    runs = [
        {
            "fleet": job_result.job.fleet,
            "policy": job_result.job.policy,
            "fault": job_result.job.scenario.fault.value,
            "seed": job_result.job.scenario.seed,
            "leaked_slots": job_result.leaked_slots,
            **job_result.result.as_dict(),
        }
        for job_result in job_results
    ]
    content = {
        "runs": runs,
        "decisions": [asdict(cost) for cost in costs],
        "targets": [asdict(target) for target in targets],
    }
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(content, indent=1) + "\n")


def write_plot(path: Path, groups: list[ResultGroup]) -> None:
    """Plot reuse against load skew for each policy in the zone scenario."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.6), sharey=True)
    for panel, fleet in zip(axes, ("Bergschuh", "Collective"), strict=True):
        for group in groups:
            if group.fleet == fleet and group.fault == "zone":
                x, y = group.mean("skew_p99"), group.mean("reuse")
                panel.scatter(x, y, s=30)
                panel.annotate(group.policy, (x, y), fontsize=8)
        panel.set_title(f"{fleet}, a zone out and in")
        panel.set_xlabel("p99 of the greatest load over the mean")
    axes[0].set_ylabel("share of prompt tokens reused")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
