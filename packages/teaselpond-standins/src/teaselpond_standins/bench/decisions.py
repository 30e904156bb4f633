"""Measure the cost of a decision against the size of the fleet."""

import time
import tracemalloc

import numpy as np
from attrs import frozen

from teaselpond.policy import (
    Dispatcher,
    EngineProfile,
    Grant,
    LoadSum,
    Outcome,
    PolicySettings,
    Release,
    RequestClass,
    SlotRequest,
)
from teaselpond_model.contracts import Address, Host, HostKind, LoadReport

from .workload import prefixes_of, request_prefixes

OWNED_ENGINES = 22
SLOTS = 16
MODELS = 12
DECISIONS = 3000
IN_FLIGHT = 100
SIZES = (22, 100, 1000, 7400)
PROMPT_TOKENS = 3000
SETTINGS = PolicySettings(
    claim_wait_seconds=0.0, claim_seconds=0.0, claim_report_seconds=0.0
)


@frozen
class DecisionCost:
    """Hold what decisions cost in a fleet of one size."""

    engines: int
    daemons: int
    request_microseconds_p50: float
    request_microseconds_p99: float
    release_microseconds_p50: float
    state_bytes: int


def measure_decisions() -> list[DecisionCost]:
    """Measure a fleet of each size, with as many engines owned in each."""
    return [_measure(size) for size in SIZES]


def _measure(engines: int) -> DecisionCost:
    daemons = max(1, round(engines / OWNED_ENGINES))
    tracemalloc.start()
    dispatcher = _dispatcher(engines, daemons)
    state_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    requests, releases = _decide(dispatcher)
    return DecisionCost(
        engines,
        daemons,
        float(np.percentile(requests, 50)) * 1e6,
        float(np.percentile(requests, 99)) * 1e6,
        float(np.percentile(releases, 50)) * 1e6,
        state_bytes,
    )


def _dispatcher(engines: int, daemons: int) -> Dispatcher:
    dispatcher = Dispatcher("entry-0", "1")
    dispatcher.configure(SETTINGS, _profiles(engines), 0.0)
    # Only the owner's own zone has a daemon in sight, which owns that zone's
    # engines; the others are known by their sums.
    hosts = [_host(f"entry-{n}", f"zone-{n}", HostKind.ENTRY) for n in range(daemons)]
    dispatcher.set_daemons(hosts, 0.0)
    dispatcher.advance(0.0)
    # A full report shows an engine to be warm; a later one that it is free.
    for sequence, running in enumerate((SLOTS, 0)):
        report = LoadReport("1", sequence, running, 0, 0, "model-0", "1")
        for engine_id in dispatcher.engines.by_id:
            dispatcher.observe_load(engine_id, report, 0.1 * (1 + sequence))
    dispatcher.advance(1.0)
    for number in range(DECISIONS):
        _fill_cache(dispatcher, number)
    for number in range(1, daemons):
        load_sum = LoadSum(
            "model-0", f"zone-{number}", f"entry-{number}", 200, 0, 352, 22, 1
        )
        dispatcher.observe_sum(load_sum, 0.0)
    return dispatcher


def _fill_cache(dispatcher: Dispatcher, number: int) -> None:
    request = _request(number)
    engine = dispatcher.engines.by_id[request.hint_engine]
    held = prefixes_of(request.workspace, request.chat, PROMPT_TOKENS * 3 // 4)
    for prefix in held:
        engine.prefixes.add(prefix.hash, prefix.tokens)


def _profiles(engines: int) -> list[EngineProfile]:
    return [
        EngineProfile(
            _host(f"engine-{n}", f"zone-{n // OWNED_ENGINES}", HostKind.ENGINE),
            "model-0" if n < OWNED_ENGINES else f"model-{n % MODELS}",
            slots=SLOTS,
        )
        for n in range(engines)
    ]


def _host(host_id: str, zone: str, kind: HostKind) -> Host:
    return Host(host_id, Address("127.0.0.1", 1), zone, kind)


def _decide(dispatcher: Dispatcher) -> tuple[list[float], list[float]]:
    requests: list[float] = []
    releases: list[float] = []
    held: list[str] = []
    for number in range(DECISIONS):
        request = _request(number)
        now = number / 50
        started = time.perf_counter()
        answer = dispatcher.request(request, now)
        requests.append(time.perf_counter() - started)
        if isinstance(answer, Grant):
            held.append(answer.grant_id)
        if len(held) > IN_FLIGHT:
            release = Release(held.pop(0), Outcome.COMPLETED, 0.1, PROMPT_TOKENS)
            started = time.perf_counter()
            dispatcher.release(release, now)
            releases.append(time.perf_counter() - started)
    return requests, releases


def _request(number: int) -> SlotRequest:
    workspace, chat = f"w{number % 10}", f"c{number}"
    return SlotRequest(
        f"r{number}",
        workspace,
        chat,
        "model-0",
        RequestClass.INTERACTIVE,
        PROMPT_TOKENS,
        request_prefixes(workspace, chat, PROMPT_TOKENS),
        number / 50 + 10.0,
        "entry-0",
        hint_engine=f"engine-{number % OWNED_ENGINES}",
    )
