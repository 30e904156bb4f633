"""Define the measured policy structures: engines, prefixes and chats."""

from teaselpond.policy import (
    Dispatcher,
    EngineDirectory,
    Grant,
    Outcome,
    PolicySettings,
    Release,
)
from teaselpond.policy.placement import DisplacedChats
from teaselpond.policy.prefixes import PrefixIndex
from teaselpond_model.contracts import HostKind, LoadReport

from .measuring import Structure
from .sizes import BLOCK_TOKENS, make_engine, make_host, make_request

DAEMONS = 340
ENGINES = 7400
TICK_SECONDS = 0.02
# Own engines at once, without waiting for a former owner.
SETTINGS = PolicySettings(claim_wait_seconds=0.0, claim_seconds=0.0)


class OwnedEngines:
    """Hold a dispatcher that owns engines of three models."""

    def __init__(self, size: int) -> None:
        self.now = 0.0
        self.size = size
        self.dispatcher = Dispatcher("entry-00000", "1")
        engines = [make_engine(number, 3) for number in range(size)]
        self.dispatcher.configure(SETTINGS, engines, self.now)
        self.dispatcher.set_daemons([make_host(0, HostKind.ENTRY)], self.now)
        self._report_loads(0)
        self.dispatcher.advance(self.now)

    def grant_and_release(self, number: int) -> None:
        """Grant and release one slot; report loads with every 50th call."""
        self.now += TICK_SECONDS
        if number % 50 == 0:
            self._report_loads(number + 100)
        request = make_request(number, f"model-{number % 3:02}")
        decision = self.dispatcher.request(request, self.now)
        if not isinstance(decision, Grant):
            raise AssertionError(
                f"expected a grant for {request.request_id}, got {decision}"
            )
        release = Release(
            decision.grant_id, Outcome.COMPLETED, 0.2, 3200, 3072, 220, "i"
        )
        self.dispatcher.release(release, self.now)

    def advance(self, number: int) -> None:
        """Advance the queues, as the broker does 20 times a second."""
        self.now += TICK_SECONDS
        self.dispatcher.advance(self.now)

    def _report_loads(self, number: int) -> None:
        for engine in range(self.size):
            model = f"model-{engine % 3:02}"
            report = LoadReport("i", number + 1, 0, 0, 0, model, "1")
            self.dispatcher.observe_load(f"engine-{engine:05}", report, self.now)


class KnownEngines:
    """Hold a directory of engines and of all daemons."""

    def __init__(self, size: int) -> None:
        self.directory = EngineDirectory()
        self.daemons = [make_host(n, HostKind.ENTRY) for n in range(DAEMONS)]
        self.directory.set_engines(make_engine(number) for number in range(size))
        self.directory.set_daemons(self.daemons)
        self.resolve_owners()

    def resolve_owners(self) -> None:
        """Look up the owner of every engine."""
        for engine_id in self.directory.engines_by_id:
            self.directory.owner(engine_id)

    def find_home(self, number: int) -> None:
        """Look up one chat's home engine and its owner."""
        self.directory.home("workspace", f"chat-{number}", "model-00")

    def remove_daemon(self, number: int) -> None:
        """Apply a membership without one daemon and look up all owners."""
        removed_index = number % DAEMONS
        self.directory.set_daemons(
            self.daemons[:removed_index] + self.daemons[removed_index + 1 :]
        )
        self.resolve_owners()


class CachedPrefixes:
    """Hold the index of an engine's cached prefixes."""

    def __init__(self, size: int) -> None:
        self.index = PrefixIndex(size, BLOCK_TOKENS)
        for number in range(size):
            self.add(number)

    def add(self, number: int) -> None:
        """Add one prefix."""
        self.index.add(f"{number:016x}", BLOCK_TOKENS)


class DisplacedChatTable:
    """Hold the engines of displaced chats."""

    def __init__(self, size: int) -> None:
        self.chats = DisplacedChats(size)
        for number in range(size):
            self.record_chat(number)

    def record_chat(self, number: int) -> None:
        """Record the engine of one displaced chat."""
        self.chats.remember(
            f"workspace-{number % 2800:04}", f"chat-{number:08x}", "engine-00001"
        )


POLICY_STRUCTURES = (
    Structure(
        "owned engines",
        "owner",
        "owned engine",
        "one grant and release",
        (11, 22, 44, 88),
        OwnedEngines,
        OwnedEngines.grant_and_release,
    ),
    Structure(
        "advancing",
        "owner",
        "owned engine",
        "one advance of the queues",
        (11, 22, 44, 88),
        OwnedEngines,
        OwnedEngines.advance,
    ),
    Structure(
        "known engines",
        "owner",
        "engine in the directory",
        "one home and owner found",
        (925, 1850, 3700, 7400),
        KnownEngines,
        KnownEngines.find_home,
    ),
    Structure(
        "change of daemons",
        "owner",
        "engine in the directory",
        "every owner after one daemon's loss",
        (462, 925, 1850, 3700),
        KnownEngines,
        KnownEngines.remove_daemon,
        2,
    ),
    Structure(
        "cached prefixes",
        "placement memory",
        "prefix",
        "one cache event",
        (1024, 2048, 4096, 8192),
        CachedPrefixes,
        CachedPrefixes.add,
    ),
    Structure(
        "displaced chats",
        "placement memory",
        "chat",
        "one displaced chat",
        (1024, 2048, 4096, 8192),
        DisplacedChatTable,
        DisplacedChatTable.record_chat,
    ),
)
