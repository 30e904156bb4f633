"""Define what daemons tell each other about members.

A daemon's record is its own to state. Others may only raise a suspicion, or
declare it gone once that suspicion stood unanswered; the daemon answers both
by stating its record anew under a higher number (after "SWIM" by Das, Gupta
and Motivala).
"""

import enum

from attrs import evolve, frozen

from ..links.facts import Fact, FactVersion, Topic


class RecordState(enum.IntEnum):
    """Rank the states of a record; a higher one wins at the same number."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


@frozen
class MemberRecord:
    """State a daemon's zone, addresses and state."""

    zone: str
    address: str
    caller_address: str
    state: RecordState = RecordState.ALIVE


@frozen
class HostRecord:
    """State one host as the platform lists it; ``kind`` "" means removed."""

    kind: str
    address: str = ""
    zone: str = ""
    state: str = ""
    peer_address: str = ""


MEMBER_TOPIC = Topic("member", MemberRecord)
HOST_TOPIC = Topic("host", HostRecord)

_STATE_COUNT = len(RecordState)


def initial_version(incarnation: int, state: RecordState) -> FactVersion:
    """Return the version of a run's first record."""
    return FactVersion(incarnation, int(state))


def claim_version(fact: Fact, state: RecordState) -> FactVersion:
    """Return the version of a claim about the record that a fact holds."""
    return FactVersion(
        fact.epoch, fact.number - fact.number % _STATE_COUNT + int(state)
    )


def refutation_version(fact: Fact, state: RecordState) -> FactVersion:
    """Return the version with which a daemon overrules a claim about it."""
    revision = fact.number // _STATE_COUNT + 1
    return FactVersion(fact.epoch, revision * _STATE_COUNT + int(state))


def with_state(record: MemberRecord, state: RecordState) -> MemberRecord:
    """Return the record in another state."""
    return evolve(record, state=state)
