"""Estimate the requests in flight at upstreams, of all hosts."""

import math
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager

from attrs import define, evolve, field

from .balancing.choices import Option
from .balancing.rejections import Rejections
from .balancing.response_times import ResponseTimes
from .balancing.slowness import SlownessReadings
from .engines import Engine, engine_key
from .load_readings import RELAYED_SECONDS, LoadReadings
from .starts import COUNTED_SECONDS, StartTracker

# The deployment's load cap is a multiple of the mean, plus this.
LOAD_CAP_SLACK = 3
# With heartbeats of all peers as new as this, nothing else is needed.
FRESH_PEERS_SECONDS = 0.5
# What hosts pass on reaches nearly all others within this time.
NEWS_SECONDS = 0.6
# A reading says less the older it is: requests that it counts have ended. From
# the first age to the second its share falls from all to nothing.
READING_FULL_SECONDS = 1.0
READING_LAPSED_SECONDS = 4.0
# Requests with a prompt run about this long. The spread of loads hardly
# depends on it: trials with 1.0 and 2.5 s differed by less than 1 in 100
# requests.
RUN_SECONDS = 1.4


@define
class LoadTracker:
    """Track the number of requests in flight at each upstream.

    In a small fleet heartbeats tell the requests of peers. In a larger one
    they are too old: there the newest reading of an upstream counts, with all
    requests that were sent to it since. ``peer_age_seconds`` is the mean age
    of the counts in heartbeats; it grows with the fleet.
    """

    peer_age_seconds: float = 0.0
    readings: LoadReadings = field(factory=LoadReadings)
    starts: StartTracker = field(factory=StartTracker)
    rejections: Rejections = field(factory=Rejections)
    slowness: SlownessReadings = field(factory=SlownessReadings)
    response_times: ResponseTimes = field(factory=ResponseTimes)
    _own_by_engine: Counter[str] = field(factory=Counter)
    _peers_by_engine: Counter[str] = field(factory=Counter)
    _loads_by_host: dict[str, Mapping[str, int]] = field(factory=dict)

    @property
    def uses_readings(self) -> bool:
        """Return whether heartbeats are too old to count requests by."""
        return self.peer_age_seconds > FRESH_PEERS_SECONDS

    @contextmanager
    def track(self, engine_id: str) -> Iterator[None]:
        """Count one request while the context is active."""
        self.begin(engine_id)
        try:
            yield
        finally:
            self.end(engine_id)

    def begin(self, engine_id: str) -> None:
        """Count one more request of this host at an upstream."""
        self._own_by_engine[engine_id] += 1

    def end(self, engine_id: str) -> None:
        """Count one request less."""
        self._own_by_engine[engine_id] -= 1
        if not self._own_by_engine[engine_id]:
            del self._own_by_engine[engine_id]

    def own_counts(self) -> dict[str, int]:
        """Return the number of this host's requests at each upstream."""
        return dict(self._own_by_engine)

    def record_reading(self, engine_id: str, load: int, now: float) -> None:
        """Record what an upstream said about its load in an answer."""
        self.readings.record(engine_id, load, now)

    def options(
        self, engines: Sequence[Engine], counts_by_id: Mapping[str, int], now: float
    ) -> list[Option]:
        """Describe upstreams for a random choice.

        A count is used only if the upstream reported its load lately. Without
        that it counts starts alone, also of requests that have ended.
        """
        self.slowness.used_at = now
        oldest = now - RELAYED_SECONDS
        options = []
        for engine in engines:
            engine_id = engine.engine_id
            reading = self.readings.newest(engine_key(engine_id))
            is_known = (
                self.uses_readings and reading is not None and reading.read_at >= oldest
            )
            options.append(
                Option(
                    engine.slots,
                    self._own_by_engine.get(engine_id, 0),
                    self.rejections.share(engine_id, now),
                    self.slowness.estimate(engine_id, now),
                    counts_by_id[engine_id] if is_known else None,
                )
            )
        if self.uses_readings and all(each.load is None for each in options):
            ids = [engine.engine_id for engine in engines]
            slowness = self.response_times.estimates(ids, now)
            for option, each in zip(options, slowness, strict=True):
                option.slowness = max(option.slowness, each)
        return options

    def load_age_seconds(self, engine_id: str, now: float) -> float | None:
        """Return how old an upstream's known load is, None if unknown."""
        if not self.uses_readings:
            return self.peer_age_seconds
        reading = self.readings.newest(engine_key(engine_id))
        return now - reading.read_at if reading is not None else None

    def copy(self) -> "LoadTracker":
        """Return a copy whose use is not recorded.

        It shares the counts, and is not for recording.
        """
        return evolve(
            self,
            slowness=evolve(self.slowness),
            response_times=self.response_times.copy(),
        )

    def record_start(self, engine_id: str, now: float, prefix: bytes = b"") -> None:
        """Record that this host sends a request to an upstream.

        ``prefix`` is the key of its prompt prefix, empty without one.
        """
        if self.uses_readings:
            self.starts.record_own(engine_key(engine_id), now, prefix)

    def set_peer_loads(self, host: str, loads: Mapping[str, int]) -> None:
        """Replace the number of a peer's requests at each upstream."""
        self._peers_by_engine.subtract(self._loads_by_host.get(host, {}))
        self._peers_by_engine.update(loads)
        self._loads_by_host[host] = loads

    def remove_peer(self, host: str) -> None:
        """Remove the requests of a peer."""
        self._peers_by_engine.subtract(self._loads_by_host.pop(host, {}))

    def count(self, engine_id: str, now: float) -> int:
        """Estimate the number of all hosts' requests at an upstream."""
        own = self._own_by_engine.get(engine_id, 0)
        if not self.uses_readings:
            return own + max(0, self._peers_by_engine.get(engine_id, 0))
        key = engine_key(engine_id)
        reading = self.readings.newest(key)
        if reading is None:
            return max(own, self.starts.count_since(key, now - COUNTED_SECONDS))
        age = now - reading.read_at
        share = (READING_LAPSED_SECONDS - age) / (
            READING_LAPSED_SECONDS - READING_FULL_SECONDS
        )
        still_running = round(reading.load * max(0.0, min(1.0, share)))
        return max(own, still_running + self.starts.count_since(key, reading.read_at))

    def remaining(self, engine_id: str, now: float) -> float:
        """Estimate how many of an upstream's known requests still run."""
        key = engine_key(engine_id)
        reading = self.readings.newest(key)
        since, count = now - COUNTED_SECONDS, 0.0
        if reading is not None:
            since = reading.read_at
            count = reading.load * math.exp((since - now) / RUN_SECONDS)
        count += self.starts.remaining_since(key, since, now, RUN_SECONDS)
        return max(count, float(self._own_by_engine.get(engine_id, 0)))

    def expire(self, now: float) -> None:
        """Forget what upstreams reported too long ago."""
        self.readings.expire(now)
        self.slowness.expire(now)
        self.response_times.expire(now)

    def age_seconds(self) -> float:
        """Return how old estimates of loads are."""
        return NEWS_SECONDS if self.uses_readings else self.peer_age_seconds
