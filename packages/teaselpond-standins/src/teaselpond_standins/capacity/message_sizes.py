"""Compute the sizes of the daemons' messages by encoding them."""

from typing import Any

# Registers the configuration's messages.
from teaselpond.assembly import configuration_links  # noqa: F401
from teaselpond.configuration import ConfigurationDelta, ConfigurationNotice
from teaselpond.configuration.messages import ChangedEntry
from teaselpond.links import codec
from teaselpond.links.fact_messages import FactDelta
from teaselpond.links.facts import Fact
from teaselpond.links.messages import Done, Flow, Frame, Heartbeat, Probe
from teaselpond.links.traffic import PACKET_HEADER_BYTES, websocket_bytes
from teaselpond.membership.listing import record_from_host
from teaselpond.membership.records import HostRecord, MemberRecord

from .fleet_structures import KnownConfiguration
from .sizes import make_host

CALL_ID = 100_000
INCARNATION = 1_800_000_000_000


def frame_bytes(message: Any, flow: Flow = Flow.ONE_WAY) -> int:
    """Return a message's size in one packet, including all headers."""
    frame = Frame(message, flow, 0 if flow is Flow.ONE_WAY else CALL_ID)
    content = codec.encode(frame)
    return websocket_bytes(len(content), masked=True) + PACKET_HEADER_BYTES


def heartbeat_bytes() -> int:
    """Return the size of a heartbeat in bytes."""
    return frame_bytes(Heartbeat())


def probe_bytes() -> int:
    """Return the size of a probe and its answer together."""
    return frame_bytes(Probe(), Flow.CALL) + frame_bytes(Done(), Flow.ANSWER)


def member_fact_bytes() -> int:
    """Return the size of one daemon's record in a message by itself."""
    host = make_host(1)
    record = MemberRecord(host.zone, str(host.address), str(host.address))
    content = codec.pack(record, MemberRecord)
    return frame_bytes(
        FactDelta((Fact("member", host.host_id, INCARNATION, 4, content),))
    )


def host_fact_bytes() -> int:
    """Return the bytes that one more host adds to a batch of facts."""
    facts = []
    for number in (1, 2):
        host = make_host(number)
        content = codec.pack(record_from_host(host), HostRecord)
        facts.append(Fact("host", host.host_id, 0, 3, content))
    pair_bytes = frame_bytes(FactDelta(tuple(facts)))
    return pair_bytes - frame_bytes(FactDelta(tuple(facts[:1])))


def configuration_delta_bytes(workspaces: int) -> int:
    """Return the size of a delta with one changed workspace."""
    configuration = KnownConfiguration(workspaces)
    configuration.change(1)
    entries = tuple(
        ChangedEntry(entry.key, entry.value, entry.version)
        for entry in configuration.replica.changed_after(2)
    )
    return frame_bytes(ConfigurationDelta(2, 3, entries), Flow.ANSWER)


def configuration_notice_bytes() -> int:
    """Return the size of a notice of a new version."""
    return frame_bytes(ConfigurationNotice(10_000, 100_000))
