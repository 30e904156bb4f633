"""Create hosts, requests and dispatchers for tests of the policy."""

from attrs import evolve

from teaselpond.policy import (
    Dispatcher,
    EngineProfile,
    PolicySettings,
    RequestClass,
    SlotRequest,
)
from teaselpond_model.contracts import Address, Host, HostKind

# A daemon without peers claims its engines without delay.
SOLE_OWNER = PolicySettings(
    claim_wait_seconds=0.0, claim_seconds=0.0, claim_report_seconds=0.0
)


def make_host(host_id: str, zone: str = "a", kind: HostKind = HostKind.ENTRY) -> Host:
    """Return a live host."""
    return Host(host_id, Address("127.0.0.1", 1), zone, kind)


def make_profile(name: str, zone: str = "a", **changes) -> EngineProfile:
    """Return an engine with four slots, all of them usable when cold."""
    engine = make_host(name, zone, HostKind.ENGINE)
    return evolve(EngineProfile(engine, "fit", slots=4, cold_limit=4), **changes)


def make_request(number: int, **changes) -> SlotRequest:
    """Return an interactive request of a separate chat."""
    request = SlotRequest(
        request_id=f"r{number}",
        workspace="w",
        chat=f"c{number}",
        model="fit",
        request_class=RequestClass.INTERACTIVE,
        prompt_tokens=100,
        prefixes=(),
        deadline=1000.0,
        origin_daemon="d1",
    )
    return evolve(request, **changes)


def make_dispatcher(
    *engines: EngineProfile, settings: PolicySettings = SOLE_OWNER
) -> Dispatcher:
    """Return the dispatcher of the only daemon, after its first advance."""
    dispatcher = Dispatcher("d1", "i1")
    dispatcher.configure(settings, engines, now=0.0)
    dispatcher.set_daemons([make_host("d1")], now=0.0)
    dispatcher.advance(now=0.0)
    return dispatcher
