"""Show the bench's figures as a table, a JSON file and a plot."""

import json
from collections.abc import Iterable
from pathlib import Path

import numpy as np
from attrs import asdict, frozen

from .decisions import DecisionCost
from .suite import POLICIES, Outcome

REUSE_STEADY = 0.95
REUSE_CHURN = 0.90
IN_TIME = 0.95
SURGE_GROWTH = 1.10
DECISION_MICROSECONDS = 50.0
GRANT_BYTES_PER_SECOND = 2000.0
REQUESTS_PER_SECOND = 47.0


@frozen
class Group:
    """Hold the runs of one policy in one scenario, over all seeds."""

    fleet: str
    fault: str
    policy: str
    outcomes: tuple[Outcome, ...]

    def mean(self, name: str) -> float:
        """Return a figure's mean over the seeds."""
        return float(np.mean([getattr(o.result, name) for o in self.outcomes]))

    def spread(self, name: str) -> float:
        """Return the distance between a figure's extremes."""
        return float(np.ptp([getattr(o.result, name) for o in self.outcomes]))

    def worst(self, name: str) -> float:
        """Return a figure's greatest value over the seeds."""
        return float(max(getattr(o.result, name) for o in self.outcomes))

    def phase(self, name: str) -> float:
        """Return the reuse of a phase."""
        reuse = [o.result.reuse_by_phase[name] for o in self.outcomes]
        return float(np.mean(reuse))


def group_results(outcomes: Iterable[Outcome]) -> list[Group]:
    """Gather the outcomes that differ by their seeds alone."""
    gathered: dict[tuple[str, str, str], list[Outcome]] = {}
    for outcome in outcomes:
        job = outcome.job
        key = (job.fleet, job.scenario.fault.value, job.policy)
        gathered.setdefault(key, []).append(outcome)
    groups = [Group(*key, tuple(found)) for key, found in gathered.items()]
    return sorted(groups, key=lambda g: (g.fleet, g.fault, POLICIES.index(g.policy)))


def table_lines(groups: list[Group]) -> list[str]:
    """Return the lines of the table."""
    lines = [
        f"{'fleet':12}{'scenario':9}{'policy':13}{'reuse ±':>12}{'before':>7}"
        f"{'during':>7}{'after':>7}{'p50':>7}{'p95':>7}{'p99':>7}{'tok95':>7}"
        f"{'max':>6}{'p99':>6}{'>cap':>6}{'most':>5}{'cold':>6}{'cut':>5}"
        f"{'out':>5}{'refuse':>8}{'B/req':>7}"
    ]
    lines.extend(_row(each) for each in groups)
    return lines


def _row(each: Group) -> str:
    return (
        f"{each.fleet:12}{each.fault:9}{each.policy:13}"
        f"{each.mean('reuse'):7.3f}{each.spread('reuse'):5.2f}"
        f"{each.phase('before'):7.3f}{each.phase('during'):7.3f}"
        f"{each.phase('after'):7.3f}{each.mean('interactive_p50'):7.3f}"
        f"{each.mean('interactive_p95'):7.3f}{each.mean('interactive_p99'):7.3f}"
        f"{each.mean('token_p95'):7.3f}{each.worst('skew_max'):6.2f}"
        f"{each.mean('skew_p99'):6.2f}{each.mean('above_cap'):6.0f}"
        f"{each.worst('most_above_cap'):5.0f}{each.mean('cold_overruns'):6.1f}"
        f"{each.mean('cut'):5.1f}{each.worst('work_for_zones_out'):5.0f}"
        f"{each.mean('refused'):8.4f}{each.mean('bytes_per_turn'):7.1f}"
    )


@frozen
class Target:
    """Hold a target and what was measured against it."""

    name: str
    bound: str
    measured: str
    met: bool


def compare_with_targets(
    groups: list[Group], costs: list[DecisionCost]
) -> list[Target]:
    """Compare the figures with the bounds that were set beforehand."""
    found = {(g.fleet, g.fault, g.policy): g for g in groups}
    return [
        target
        for fleet in ("Bergschuh", "Collective")
        for target in _fleet_targets(fleet, found)
    ] + _cost_targets(costs)


def _fleet_targets(fleet: str, found: dict) -> list[Target]:
    ours = {
        fault: found[fleet, fault, "teaselpond"]
        for fault in ("steady", "zone", "churn", "surge")
    }

    def reuse(fault: str) -> float:
        best = found[fleet, fault, "oracle"].mean("reuse")
        return ours[fault].mean("reuse") / best

    growth = ours["surge"].mean("other_p95") / ours["steady"].mean("other_p95")
    in_time = ours["zone"].mean("in_time_during")
    above = max(each.worst("above_cap") for each in ours.values())
    most = max(each.worst("most_above_cap") for each in ours.values())
    cold = max(each.worst("cold_overruns") for each in ours.values())
    cut = ours["zone"].worst("cut")
    out = ours["zone"].worst("work_for_zones_out")
    leaked = sum(o.leaked_slots for each in ours.values() for o in each.outcomes)
    rate = ours["steady"].mean("bytes_per_turn") * REQUESTS_PER_SECOND
    return [
        _at_least(f"{fleet}: reuse over the oracle's, steady", REUSE_STEADY,
                  reuse("steady")),
        _at_least(f"{fleet}: the same, zone out and in", REUSE_CHURN, reuse("zone")),
        _at_least(f"{fleet}: the same, a tenth replaced", REUSE_CHURN, reuse("churn")),
        _at_least(f"{fleet}: first tokens in 1.5 s, zone", IN_TIME, in_time),
        _at_most(f"{fleet}: admissions above the cap in a run", 0, above),
        _at_most(f"{fleet}: most requests above the cap", 0, most),
        _at_most(f"{fleet}: admissions above the cold limit", 0, cold),
        _at_most(f"{fleet}: answers cut by a zone's leave", 0, cut),
        _at_most(f"{fleet}: work for a zone out, after 2 s", 0, out),
        _at_most(f"{fleet}: slots leaked", 0, leaked),
        _at_most(f"{fleet}: others' p95 in a surge, over steady", SURGE_GROWTH, growth),
        _at_most(f"{fleet}: grant bytes/s at 47 requests/s", GRANT_BYTES_PER_SECOND,
                 rate),
    ]  # fmt: skip


def _cost_targets(costs: list[DecisionCost]) -> list[Target]:
    dearest = max(cost.request_microseconds_p50 for cost in costs)
    smallest = costs[0].request_microseconds_p50
    growth = costs[-1].request_microseconds_p50 / smallest
    return [
        _at_most("decision, median microseconds", DECISION_MICROSECONDS, dearest),
        _at_most("decision, 7,400 engines over 22", SURGE_GROWTH, growth),
    ]


def _at_least(name: str, bound: float, measured: float) -> Target:
    return Target(name, f">= {bound:g}", f"{measured:.3f}", measured >= bound)


def _at_most(name: str, bound: float, measured: float) -> Target:
    return Target(name, f"<= {bound:g}", f"{measured:.3f}", measured <= bound)


def write_json(
    path: Path, outcomes: list[Outcome], costs: list[DecisionCost], met: list[Target]
) -> None:
    """Write all figures to a JSON file."""
    runs = [
        {
            "fleet": outcome.job.fleet,
            "policy": outcome.job.policy,
            "fault": outcome.job.scenario.fault.value,
            "seed": outcome.job.scenario.seed,
            "leaked_slots": outcome.leaked_slots,
            **outcome.result.as_dict(),
        }
        for outcome in outcomes
    ]
    content = {
        "runs": runs,
        "decisions": [asdict(cost) for cost in costs],
        "targets": [asdict(target) for target in met],
    }
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(content, indent=1) + "\n")


def write_plot(path: Path, groups: list[Group]) -> None:
    """Draw reuse against skew for each policy with a zone out and in."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.6), sharey=True)
    for panel, fleet in zip(axes, ("Bergschuh", "Collective"), strict=True):
        for each in groups:
            if each.fleet == fleet and each.fault == "zone":
                x, y = each.mean("skew_p99"), each.mean("reuse")
                panel.scatter(x, y, s=30)
                panel.annotate(each.policy, (x, y), fontsize=8)
        panel.set_title(f"{fleet}, a zone out and in")
        panel.set_xlabel("p99 of the greatest load over the mean")
    axes[0].set_ylabel("share of prompt tokens reused")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
