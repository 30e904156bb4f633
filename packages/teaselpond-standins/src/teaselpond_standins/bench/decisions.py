"""Measure how a decision's cost grows with the size of the fleet."""

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

OWNED_ENGINES_PER_DAEMON = 22
SLOTS = 16
MODELS = 12
DECISIONS_PER_FLEET = 3000
MAX_OPEN_GRANTS = 100
FLEET_SIZES = (22, 100, 1000, 7400)
PROMPT_TOKENS = 3000
SETTINGS = PolicySettings(
    claim_wait_seconds=0.0, claim_seconds=0.0, claim_report_seconds=0.0
)


@frozen
class DecisionCost:
    """Hold the cost of decisions in a fleet of one size.

    ``state_bytes`` is the memory of one daemon's dispatcher.
    """

    engines: int
    daemons: int
    request_microseconds_p50: float
    request_microseconds_p99: float
    release_microseconds_p50: float
    state_bytes: int


def measure_decisions() -> list[DecisionCost]:
    """Measure fleets of several sizes.

    The measured daemon owns the same number of engines in each.
    """
    return [_measure_fleet(size) for size in FLEET_SIZES]


def _measure_fleet(engines: int) -> DecisionCost:
    daemons = max(1, round(engines / OWNED_ENGINES_PER_DAEMON))
    tracemalloc.start()
    dispatcher = _make_dispatcher(engines, daemons)
    state_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    request_seconds, release_seconds = _time_decisions(dispatcher)
    return DecisionCost(
        engines,
        daemons,
        float(np.percentile(request_seconds, 50)) * 1e6,
        float(np.percentile(request_seconds, 99)) * 1e6,
        float(np.percentile(release_seconds, 50)) * 1e6,
        state_bytes,
    )


def _make_dispatcher(engines: int, daemons: int) -> Dispatcher:
    dispatcher = Dispatcher("entry-0", "1")
    dispatcher.configure(SETTINGS, _make_profiles(engines), 0.0)
    # Each zone has one daemon, which owns the zone's engines. The dispatcher
    # knows the load of the other zones only from their daemons' sums.
    hosts = [
        _make_host(f"entry-{n}", f"zone-{n}", HostKind.ENTRY) for n in range(daemons)
    ]
    dispatcher.set_daemons(hosts, 0.0)
    dispatcher.advance(0.0)
    # Report all slots in use, which shows that the engine is warm, then none.
    for sequence, running in enumerate((SLOTS, 0)):
        report = LoadReport("1", sequence, running, 0, 0, "model-0", "1")
        for engine_id in dispatcher.engines.by_id:
            dispatcher.observe_load(engine_id, report, 0.1 * (1 + sequence))
    dispatcher.advance(1.0)
    for number in range(DECISIONS_PER_FLEET):
        _fill_cache(dispatcher, number)
    for number in range(1, daemons):
        load_sum = LoadSum(
            "model-0", f"zone-{number}", f"entry-{number}", 200, 0, 352, 22, 1
        )
        dispatcher.observe_sum(load_sum, 0.0)
    return dispatcher


def _fill_cache(dispatcher: Dispatcher, number: int) -> None:
    request = _make_request(number)
    engine = dispatcher.engines.by_id[request.hint_engine]
    prefixes = prefixes_of(request.workspace, request.chat, PROMPT_TOKENS * 3 // 4)
    for prefix in prefixes:
        engine.prefixes.add(prefix.hash, prefix.tokens)


def _make_profiles(engines: int) -> list[EngineProfile]:
    return [
        EngineProfile(
            _make_host(
                f"engine-{n}", f"zone-{n // OWNED_ENGINES_PER_DAEMON}", HostKind.ENGINE
            ),
            "model-0" if n < OWNED_ENGINES_PER_DAEMON else f"model-{n % MODELS}",
            slots=SLOTS,
        )
        for n in range(engines)
    ]


def _make_host(host_id: str, zone: str, kind: HostKind) -> Host:
    return Host(host_id, Address("127.0.0.1", 1), zone, kind)


def _time_decisions(dispatcher: Dispatcher) -> tuple[list[float], list[float]]:
    request_seconds: list[float] = []
    release_seconds: list[float] = []
    open_grants: list[str] = []
    for number in range(DECISIONS_PER_FLEET):
        request = _make_request(number)
        now = number / 50
        started = time.perf_counter()
        decision = dispatcher.request(request, now)
        request_seconds.append(time.perf_counter() - started)
        if isinstance(decision, Grant):
            open_grants.append(decision.grant_id)
        if len(open_grants) > MAX_OPEN_GRANTS:
            release = Release(open_grants.pop(0), Outcome.COMPLETED, 0.1, PROMPT_TOKENS)
            started = time.perf_counter()
            dispatcher.release(release, now)
            release_seconds.append(time.perf_counter() - started)
    return request_seconds, release_seconds


def _make_request(number: int) -> SlotRequest:
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
        hint_engine=f"engine-{number % OWNED_ENGINES_PER_DAEMON}",
    )
