"""Define the records of daemons and hosts that daemons replicate.

Each daemon publishes its own record. Other daemons may only claim that it is
suspect, or that it is gone if it did not refute the suspicion in time. The
daemon refutes both by publishing its record with a higher version number, as
in "SWIM" by Das, Gupta and Motivala.
"""

import enum

from attrs import evolve, frozen

from ..links.facts import Fact, FactVersion, Topic


class RecordState(enum.IntEnum):
    """Define the states of a record; a higher one wins in the same revision.

    The number of a record's version is its revision times the count of the
    states, plus its state.
    """

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


@frozen
class MemberRecord:
    """Describe a daemon's zone, addresses and state."""

    zone: str
    address: str
    caller_address: str
    state: RecordState = RecordState.ALIVE


@frozen
class HostRecord:
    """Describe a host as the platform lists it.

    An empty ``kind`` means that the host was removed from the list.
    """

    kind: str
    address: str = ""
    zone: str = ""
    state: str = ""
    peer_address: str = ""


MEMBER_TOPIC = Topic("member", MemberRecord)
HOST_TOPIC = Topic("host", HostRecord)

_STATE_COUNT = len(RecordState)


def initial_version(incarnation: int, state: RecordState) -> FactVersion:
    """Return the version of the first record of an incarnation."""
    return FactVersion(incarnation, int(state))


def claim_version(fact: Fact, state: RecordState) -> FactVersion:
    """Return the version of a claim that changes a record's state.

    It has the revision of the record that ``fact`` holds.
    """
    return FactVersion(
        fact.epoch, fact.number - fact.number % _STATE_COUNT + int(state)
    )


def refutation_version(fact: Fact, state: RecordState) -> FactVersion:
    """Return the version with which a daemon refutes a claim about itself.

    It has the revision after that of ``fact``.
    """
    revision = fact.number // _STATE_COUNT + 1
    return FactVersion(fact.epoch, revision * _STATE_COUNT + int(state))


def with_state(record: MemberRecord, state: RecordState) -> MemberRecord:
    """Return a copy of the record in another state."""
    return evolve(record, state=state)
