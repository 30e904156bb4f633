"""Define the measured structures of the fleet's state.

These are members, facts, loads, digests and the configuration.
"""

import random
from typing import Any

from attrs import evolve

from teaselpond.links.digests import FactDigest
from teaselpond.links.facts import FactChange, FactStore, FactVersion, decode_value
from teaselpond.links.loads import (
    LOAD_TOPIC,
    LoadRow,
    OwnerLoad,
    subscribe_to_load_sums,
)
from teaselpond.locate import LocateQuestion, LocateSettings, locate
from teaselpond.membership import Daemon, DaemonState, Membership
from teaselpond.membership.listing import host_from_record, record_from_host
from teaselpond.membership.neighbours import Candidate, choose_neighbours
from teaselpond.membership.records import HOST_TOPIC, MEMBER_TOPIC, MemberRecord
from teaselpond.membership.view import MembershipView
from teaselpond.policy import Dispatcher
from teaselpond_model.configuration.entries import HEAD_KEY, EntryKey
from teaselpond_model.configuration.replica import Replica, next_head
from teaselpond_model.contracts import Address, HostKind, TableEntry

from .measuring import Structure
from .sizes import make_host, zone_for_host

ROWS_PER_OWNER = 3


class KnownHosts:
    """Hold the facts and the membership view of upstream hosts."""

    def __init__(self, size: int) -> None:
        self.store = FactStore()
        self.view = MembershipView()
        self.store.observe(HOST_TOPIC).subscribe(self._update_host)
        for number in range(size):
            self.publish(number, 1)
        self.view.refresh()

    def publish(self, number: int, version: int) -> None:
        """Publish a version of a host's record."""
        host = evolve(make_host(number), address=Address("10.0.0.1", version % 60000))
        self.store.publish(
            HOST_TOPIC,
            host.host_id,
            record_from_host(host),
            FactVersion(0, version),
            0.0,
        )

    def change(self, number: int) -> None:
        """Change one host and refresh the membership."""
        self.publish(0, number + 2)
        self.view.refresh()

    def _update_host(self, change: FactChange) -> None:
        record = decode_value(change.fact, HOST_TOPIC)
        self.view.set_host(change.fact.key, host_from_record(change.fact.key, record))


class KnownDaemons:
    """Hold the facts and the membership view of daemons."""

    def __init__(self, size: int) -> None:
        self.store = FactStore()
        self.view = MembershipView()
        for number in range(size):
            self.publish(number, 1)
        self.view.refresh()

    def publish(self, number: int, version: int) -> None:
        """Publish a version of a daemon's record."""
        host = make_host(number, HostKind.ENTRY)
        record = MemberRecord(host.zone, str(host.address), str(host.address))
        self.store.publish(
            MEMBER_TOPIC, host.host_id, record, FactVersion(1, version), 0.0
        )
        self.view.set_record(host.host_id, version, record)

    def change(self, number: int) -> None:
        """Change one daemon and choose the neighbours again."""
        self.publish(0, number + 2)
        self.view.refresh()
        daemons = self.view.membership.daemons_by_id.values()
        candidates = [Candidate(each.daemon_id, each.zone) for each in daemons]
        choose_neighbours(candidates[0], candidates)


class KnownLoads:
    """Hold the load facts of owners and their sums."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.store = FactStore()
        self.dispatcher = Dispatcher("daemon-000", "1")
        subscribe_to_load_sums(self.store, "daemon-000", self._observe)
        for number in range(size):
            self.publish(number, 1)

    def publish(self, number: int, version: int) -> None:
        """Publish a version of an owner's load."""
        rows = tuple(
            LoadRow(
                f"model-{model:02}", zone_for_host(number), version % 100, 0, 112, 7
            )
            for model in range(ROWS_PER_OWNER)
        )
        owner_id = f"entry-{number:05}"
        self.store.publish(
            LOAD_TOPIC, owner_id, OwnerLoad(rows), FactVersion(1, version), 0.0
        )

    def change(self, number: int) -> None:
        """Publish the next sums of one owner."""
        self.publish(number % self.size, number + 2)

    def _observe(self, load_sum: Any) -> None:
        self.dispatcher.observe_sum(load_sum, 0.0)


class DigestPair:
    """Hold the digests of two stores that differ in ten facts."""

    def __init__(self, size: int) -> None:
        rng = random.Random(size)
        self.local, self.remote = FactDigest(), FactDigest()
        for number in range(size):
            value = rng.getrandbits(64)
            self.local.add(value)
            self.remote.add(value if number >= 10 else rng.getrandbits(64))

    def compare(self, number: int) -> None:
        """Compute the difference from the other digest's smallest filter."""
        self.local.filters[0].difference(self.remote.filters[0].pack())


class KnownConfiguration:
    """Hold a configuration replica."""

    def __init__(self, size: int) -> None:
        self.replica = Replica()
        self.apply({self._key(n): self._value(n, 1) for n in range(size)}, 1)

    def apply(self, values: dict[EntryKey, Any], version: int) -> None:
        """Apply the entries of one accepted change."""
        head = next_head(self.replica, values, f"apply-{version}", "operator", 0.0)
        entries = [
            TableEntry(str(key), value, version) for key, value in values.items()
        ]
        entries.append(TableEntry(HEAD_KEY, head.to_value(), version))
        self.replica = self.replica.with_entries(entries)

    def change(self, number: int) -> None:
        """Apply a change of one workspace."""
        self.apply({self._key(0): self._value(0, number + 2)}, number + 2)

    @staticmethod
    def _key(number: int) -> EntryKey:
        return EntryKey("workspaces", f"workspace-{number:04}")

    @staticmethod
    def _value(number: int, version: int) -> dict[str, Any]:
        return {
            "models": ["model-00", f"model-{number % 12:02}"],
            "services": ["orders", "stock"],
            "weight": 1.0 + version % 7,
            "key_digests": [f"{number:064x}"],
        }


class LocatingFleet:
    """Hold a membership of daemons that locates chats."""

    def __init__(self, size: int) -> None:
        address = Address("10.0.0.1", 8000)
        daemons = [
            Daemon(f"d{n:03}", 1, zone_for_host(n), address, address, DaemonState.ALIVE)
            for n in range(size)
        ]
        self.membership = Membership({each.daemon_id: each for each in daemons})
        self.settings = LocateSettings()

    def locate(self, number: int) -> None:
        """Locate one chat."""
        question = LocateQuestion("workspace", f"chat-{number}", "", zone_for_host(0))
        locate(self.membership, question, ("d000",), {}, self.settings)


FLEET_STRUCTURES = (
    Structure(
        "known hosts",
        "membership",
        "upstream host",
        "one changed host",
        (925, 1850, 3700, 7400),
        KnownHosts,
        KnownHosts.change,
    ),
    Structure(
        "known daemons",
        "membership",
        "daemon",
        "one changed daemon",
        (42, 85, 170, 340),
        KnownDaemons,
        KnownDaemons.change,
    ),
    Structure(
        "known loads",
        "links",
        "owner",
        "one owner's sums",
        (42, 85, 170, 340),
        KnownLoads,
        KnownLoads.change,
    ),
    Structure(
        "digest pair",
        "links",
        "fact in two digests",
        "one comparison, ten facts changed",
        (1000, 2000, 4000, 8000),
        DigestPair,
        DigestPair.compare,
    ),
    Structure(
        "configuration",
        "configuration",
        "workspace",
        "one changed workspace",
        (350, 700, 1400, 2800),
        KnownConfiguration,
        KnownConfiguration.change,
    ),
    Structure(
        "locating",
        "locate",
        "daemon",
        "one answer",
        (42, 85, 170, 340),
        LocatingFleet,
        LocatingFleet.locate,
    ),
)
