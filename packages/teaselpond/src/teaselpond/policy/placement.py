"""Choose the engine, or the other owner, for a request."""

from collections import OrderedDict
from collections.abc import Sequence

from attrs import define, field

from .cap import FleetLoad, load_cap
from .directory import EngineDirectory, EngineLocation
from .engines import OwnedEngine
from .messages import SlotRequest
from .pools import EligibleEngines, ModelPool
from .settings import PolicySettings

# Cost in seconds of choosing a full engine instead of an idle one.
FULL_ENGINE_WAIT_SECONDS = 0.5
# Cost in seconds of choosing another engine than the chat's home.
DISPLACEMENT_SECONDS = 0.25
# A chat counts as known if an engine caches at least this share of its prompt;
# a system prompt shared between chats covers less.
KNOWN_PROMPT_SHARE = 0.8


@define
class DisplacedChats:
    """Remember the engines of chats redirected from their home engine."""

    capacity: int
    _engines_by_chat: OrderedDict[tuple[str, str], str] = field(factory=OrderedDict)

    def remember(self, workspace: str, chat: str, engine_id: str) -> None:
        """Store a chat's engine and evict the oldest entry if full."""
        key = (workspace, chat)
        self._engines_by_chat[key] = engine_id
        self._engines_by_chat.move_to_end(key)
        if len(self._engines_by_chat) > self.capacity:
            self._engines_by_chat.popitem(last=False)

    def engine_for(self, workspace: str, chat: str) -> str:
        """Return the id of a chat's engine, or an empty string."""
        return self._engines_by_chat.get((workspace, chat), "")


@define
class Placement:
    """Place requests by estimated cost in seconds.

    The cost is the time to prefill the tokens that the engine doesn't cache,
    plus the wait for its earlier prefills, a penalty for its load and one for
    an engine that isn't the chat's home.
    """

    directory: EngineDirectory
    settings: PolicySettings

    def choose(
        self, request: SlotRequest, eligible: EligibleEngines, now: float
    ) -> OwnedEngine | None:
        """Return the cheapest eligible engine, or None if there is none.

        Only the engines that cache the longest prefix of the prompt, the home
        engine and the least loaded engine are compared.
        """
        if eligible.least_loaded is None:
            return None
        prefixes = [int(prefix, 16) for prefix in reversed(request.prefixes)]
        home = self._home_engine(request)
        options = engines_with_longest_prefix(prefixes, eligible.engines)
        options.append(eligible.least_loaded)
        options.extend(e for e in eligible.engines if e.profile.host.host_id == home)
        return min(
            options,
            key=lambda engine: self._cost(request, engine, prefixes, home, now),
        )

    def _home_engine(self, request: SlotRequest) -> str:
        if request.hint_engine:
            return request.hint_engine
        candidates = self.directory.candidates(
            request.workspace, request.chat, request.model
        )
        return next(candidates, "")

    def cached_tokens(self, request: SlotRequest, engine: OwnedEngine) -> int:
        """Return how many prompt tokens an engine is expected to cache."""
        prefixes = (int(prefix, 16) for prefix in reversed(request.prefixes))
        return min(request.prompt_tokens, engine.prefixes.cached_tokens(prefixes))

    def is_new(self, request: SlotRequest, pool: ModelPool) -> bool:
        """Return whether a chat seems to be new to the engines of a pool.

        It is if its request has no hint and no engine of the pool caches
        ``KNOWN_PROMPT_SHARE`` of the prompt.
        """
        if request.hint_engine:
            return False
        cached = (
            self.cached_tokens(request, engine)
            for engine in pool.engines_by_id.values()
        )
        return max(cached, default=0) < KNOWN_PROMPT_SHARE * request.prompt_tokens

    def find_other_owner(
        self,
        request: SlotRequest,
        pool: ModelPool,
        owner_id: str,
        multiple: float,
        now: float,
    ) -> EngineLocation | None:
        """Return a candidate engine of another owner with a free slot.

        An owner's free slots are estimated from its load sums, up to its
        engines' caps at ``multiple`` times the mean load.
        """
        load = pool.fleet_load(now)
        candidates = self.directory.candidates(
            request.workspace, request.chat, request.model
        )
        for engine_id in candidates:
            location = self.directory.location_of(engine_id)
            if location is None or location.owner_id == owner_id:
                continue
            if engine_id in request.excluded:
                continue
            if self._free_slots(pool, location.owner_id, load, multiple, now) >= 1.0:
                return location
        return None

    def find_candidate_below(
        self, pool: ModelPool, workspace: str, chat: str, multiple: float, now: float
    ) -> EngineLocation | None:
        """Return a chat's first candidate whose owner has capacity left.

        The owner's load must not exceed ``multiple`` times the mean load.
        """
        load = pool.fleet_load(now)
        own = pool.own_load(now)
        for engine_id in self.directory.candidates(workspace, chat, pool.model):
            location = self.directory.location_of(engine_id)
            if location is None:
                continue
            if engine_id in pool.engines_by_id:
                mean = load.in_flight / max(1, load.slots)
                free = multiple * mean * own.slots - own.in_flight
            else:
                free = self._free_slots(pool, location.owner_id, load, multiple, now)
            if free >= 0.0:
                return location
        return None

    def _free_slots(
        self,
        pool: ModelPool,
        owner_id: str,
        load: FleetLoad,
        multiple: float,
        now: float,
    ) -> int:
        sums = pool.sums.of_owner(owner_id, now)
        slots = sum(load_sum.slots for load_sum in sums)
        in_flight = sum(load_sum.in_flight for load_sum in sums)
        floor = self.settings.load_floor * sum(load_sum.engines for load_sum in sums)
        return load_cap(load, slots, multiple, floor) - in_flight

    def _cost(
        self,
        request: SlotRequest,
        engine: OwnedEngine,
        prefixes: Sequence[int],
        home: str,
        now: float,
    ) -> float:
        cached = min(request.prompt_tokens, engine.prefixes.cached_tokens(prefixes))
        uncached = request.prompt_tokens - cached
        seconds = uncached / self.settings.prefill_tokens_per_second
        seconds += engine.prefill_wait(now)
        seconds += (
            FULL_ENGINE_WAIT_SECONDS
            * engine.slots.in_flight
            / max(1, engine.usable_slots())
        )
        if engine.engine_id != home:
            seconds += DISPLACEMENT_SECONDS
        return seconds


def engines_with_longest_prefix(
    prefixes: Sequence[int], engines: Sequence[OwnedEngine]
) -> list[OwnedEngine]:
    """Return the engines that cache the longest prefix cached by any engine.

    ``prefixes`` are ordered from the longest to the shortest.
    """
    for prefix in prefixes:
        holders = [e for e in engines if prefix in e.prefixes.tokens_by_prefix]
        if holders:
            return holders
    return []
