"""Run each policy and baseline on the same traces and seeds."""

from concurrent.futures import ProcessPoolExecutor

from attrs import frozen

from .baselines import (
    LoadReports,
    choose_better_of_two,
    choose_bounded_load,
    choose_least_loaded,
    choose_oracle,
    choose_random,
    choose_rendezvous,
)
from .fleet import FleetRun
from .metrics import Result, summarise
from .runs import CentralRun, Simulation
from .scenarios import Fault, Scenario

WORKER_PROCESSES = 6
REPORT_INTERVAL_SECONDS = 1.0
POLICIES = (
    "random",
    "least-loaded",
    "two-choices",
    "rendezvous",
    "bounded",
    "teaselpond",
    "oracle",
)
SEEDS = (1, 2, 3)
BERGSCHUH = {"engines": 10, "zones": 4, "daemons": 7}
COLLECTIVE = {"engines": 6, "zones": 3, "daemons": 6}
HUNDRED_ENGINES = {"engines": 100, "zones": 5, "daemons": 20, "seconds": 36.0}
LARGE_FLEET_POLICIES = ("bounded", "teaselpond", "oracle")


@frozen
class Job:
    """Describe one run of the bench."""

    fleet: str
    policy: str
    scenario: Scenario


@frozen
class JobResult:
    """Hold the result of one run."""

    job: Job
    result: Result
    leaked_slots: int


def plan_jobs() -> list[Job]:
    """Return every run of the bench, the longest first."""
    jobs = [
        Job("100 engines", policy, Scenario(Fault.ZONE, seed=1, **HUNDRED_ENGINES))
        for policy in LARGE_FLEET_POLICIES
    ]
    for fleet, size in (("Bergschuh", BERGSCHUH), ("Collective", COLLECTIVE)):
        for fault in Fault:
            for seed in SEEDS:
                scenario = Scenario(fault, seed=seed, **size)
                jobs.extend(Job(fleet, policy, scenario) for policy in POLICIES)
    for seed in SEEDS:
        scenario = Scenario(Fault.ZONE, seed=seed, unequal_slots=True, **BERGSCHUH)
        jobs.extend(Job("unequal", p, scenario) for p in ("teaselpond", "oracle"))
    return jobs


def run_suite(jobs: list[Job]) -> list[JobResult]:
    """Run the jobs in several processes; return results in their order."""
    with ProcessPoolExecutor(WORKER_PROCESSES) as executor:
        return list(executor.map(run_job, jobs))


def run_job(job: Job) -> JobResult:
    """Run one job and return its result."""
    simulation = Simulation.create(job.scenario)
    run = (
        FleetRun(simulation)
        if job.policy == "teaselpond"
        else _make_central_run(simulation, job.policy)
    )
    run.start()
    simulation.run(run.serve)
    engines = list(simulation.engines_by_id.values())
    result = summarise(simulation.recorder, engines, job.scenario.phase_starts)
    return JobResult(job, result, run.leaked_slots())


def _make_central_run(simulation: Simulation, policy: str) -> CentralRun:
    reports = LoadReports()

    def update_reports() -> None:
        for engine_id, engine in simulation.engines_by_id.items():
            reports.in_flight_by_engine[engine_id] = engine.in_flight

    simulation.clock.call_every(REPORT_INTERVAL_SECONDS, update_reports, simulation.end)
    seed = simulation.scenario.seed
    make_chooser_by_policy = {
        "random": lambda: choose_random(seed),
        "least-loaded": lambda: choose_least_loaded(reports),
        "two-choices": lambda: choose_better_of_two(reports, seed),
        "rendezvous": lambda: choose_rendezvous,
        "bounded": lambda: choose_bounded_load(list(simulation.engines_by_id.values())),
        "oracle": lambda: choose_oracle,
    }
    return CentralRun(simulation, make_chooser_by_policy[policy](), policy == "oracle")
