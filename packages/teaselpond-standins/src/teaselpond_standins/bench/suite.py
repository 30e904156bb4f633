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
from .runs import CentralRun, World
from .scenarios import Fault, Scenario

WORKERS = 6
REPORT_SECONDS = 1.0
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
HUNDRED = {"engines": 100, "zones": 5, "daemons": 20, "seconds": 36.0}
LARGE_POLICIES = ("bounded", "teaselpond", "oracle")


@frozen
class Job:
    """Name one run."""

    fleet: str
    policy: str
    scenario: Scenario


@frozen
class Outcome:
    """Hold one run's figures."""

    job: Job
    result: Result
    leaked_slots: int


def plan_jobs() -> list[Job]:
    """Return every run of the bench, the longest first."""
    jobs = [
        Job("100 engines", policy, Scenario(Fault.ZONE, seed=1, **HUNDRED))
        for policy in LARGE_POLICIES
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


def run_suite(jobs: list[Job]) -> list[Outcome]:
    """Run the jobs on a few processes."""
    with ProcessPoolExecutor(WORKERS) as executor:
        return list(executor.map(run_job, jobs))


def run_job(job: Job) -> Outcome:
    """Run one job."""
    world = World.create(job.scenario)
    run = FleetRun(world) if job.policy == "teaselpond" else _central(world, job.policy)
    run.start()
    world.run(run.serve)
    engines = list(world.engines_by_id.values())
    result = summarise(world.recorder, engines, job.scenario.phase_starts)
    return Outcome(job, result, run.leaked_slots())


def _central(world: World, policy: str) -> CentralRun:
    reports = LoadReports()

    def report() -> None:
        for engine_id, engine in world.engines_by_id.items():
            reports.in_flight_by_engine[engine_id] = engine.in_flight

    world.clock.call_every(REPORT_SECONDS, report, world.end)
    seed = world.scenario.seed
    choosers = {
        "random": lambda: choose_random(seed),
        "least-loaded": lambda: choose_least_loaded(reports),
        "two-choices": lambda: choose_better_of_two(reports, seed),
        "rendezvous": lambda: choose_rendezvous,
        "bounded": lambda: choose_bounded_load(list(world.engines_by_id.values())),
        "oracle": lambda: choose_oracle,
    }
    return CentralRun(world, choosers[policy](), policy == "oracle")
