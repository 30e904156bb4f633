"""Encode heartbeats and row changes as CBOR datagrams, and decode them."""

import cbor2
from attrs import frozen

from .departures import DEPARTURE, REMINDER
from .load_readings import READING
from .members import Heartbeat, Introduction, MemberState
from .poison_news import NEWS as POISON_NEWS
from .prefixes import NEWS, PrefixNews
from .retry_usage import USAGE, FormerUsage
from .rows import Page, Row
from .sightings import SIGHTING
from .starts import START
from .tables import FOLLOWED_TABLES, Table
from .wire_values import read_bytes, read_integer, read_seconds

PROTOCOL_VERSION = 1
HEARTBEAT_KIND = 0
CHANGES_KIND = 1


@frozen
class TableChanges:
    """Hold the rows of a table that changed after version ``after``."""

    table: Table
    after: int
    page: Page


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat as a datagram."""
    return cbor2.dumps(
        [
            PROTOCOL_VERSION,
            HEARTBEAT_KIND,
            heartbeat.host,
            heartbeat.incarnation,
            heartbeat.ip,
            heartbeat.availability_zone,
            int(heartbeat.state),
            heartbeat.confirmed_store_seconds,
            list(heartbeat.row_versions),
            heartbeat.is_store_answering,
            heartbeat.store_back_seconds,
            dict(heartbeat.loads_by_engine),
            dict(heartbeat.ips_by_host),
            dict(heartbeat.engines_by_prefix_key),
            {
                key: list(ids)
                for key, ids in heartbeat.engines_by_broken_request.items()
            },
            # Older builds ignore what follows.
            heartbeat.era,
            heartbeat.configuration_version,
            [
                [
                    each.host,
                    each.incarnation,
                    each.ip,
                    each.availability_zone,
                    int(each.state),
                    each.age_seconds,
                ]
                for each in heartbeat.introductions
            ],
            heartbeat.sightings,
            heartbeat.load_readings,
            heartbeat.prefix_news.uses,
            heartbeat.starts,
            heartbeat.departures,
            heartbeat.fleet_size,
            heartbeat.fleet_size_age_seconds,
            heartbeat.prefix_news.ages,
            heartbeat.poison_news,
            heartbeat.departure_reminders,
            heartbeat.retry_usage,
            heartbeat.asks_former_usage,
            _encode_former_usage(heartbeat.former_usage),
            dict(heartbeat.news_by_topic),
        ]
    )


def encode_changes(changes: TableChanges) -> bytes:
    """Encode changed rows of a table as a datagram."""
    page = changes.page
    rows = [[row.key, row.value, row.version] for row in page.rows]
    return cbor2.dumps(
        [
            PROTOCOL_VERSION,
            CHANGES_KIND,
            FOLLOWED_TABLES.index(changes.table),
            changes.after,
            page.version,
            page.store_seconds,
            rows,
            # Older builds ignore what follows.
            page.era,
        ]
    )


def decode_datagram(content: bytes) -> Heartbeat | TableChanges:
    """Decode a peer's datagram; raise ValueError if it is malformed."""
    try:
        protocol, kind, *values = cbor2.loads(content)
        if protocol != PROTOCOL_VERSION:
            raise ValueError(f"unsupported protocol version {protocol!r}")
        return (
            _decode_heartbeat(values)
            if kind == HEARTBEAT_KIND
            else _decode_changes(values)
        )
    except (
        cbor2.CBORDecodeError,
        AttributeError,
        LookupError,
        OverflowError,
        TypeError,
    ) as error:
        raise ValueError(f"malformed peer datagram: {error!r}") from error


def _decode_heartbeat(values: list) -> Heartbeat:
    (host, incarnation, own_ip, zone, state, confirmed, versions) = values[:7]
    (is_answering, returned_at, loads, ips, engines, broken) = values[7:13]
    # Older builds send none of these.
    (era, configuration_version, introductions, sightings, readings, news, starts) = (
        values[13:20] if len(values) >= 20 else (0, 0, [], b"", b"", b"", b"")
    )
    (departures, fleet_size, fleet_size_age, prefix_ages) = (
        values[20:24] if len(values) >= 24 else (b"", 0, 0.0, b"")
    )
    poison_news, reminders = values[24:26] if len(values) >= 26 else (b"", b"")
    usage, asks_former, former = (
        values[26:29] if len(values) >= 29 else (b"", False, None)
    )
    news_by_topic = values[29] if len(values) >= 30 else {}
    return Heartbeat(
        host=str(host),
        incarnation=read_integer(incarnation),
        ip=str(own_ip),
        availability_zone=str(zone),
        state=MemberState(state),
        confirmed_store_seconds=read_seconds(confirmed),
        row_versions=_decode_versions(versions),
        is_store_answering=bool(is_answering),
        store_back_seconds=read_seconds(returned_at),
        loads_by_engine={
            str(name): read_integer(count) for name, count in loads.items()
        },
        ips_by_host={str(name): str(ip) for name, ip in ips.items()},
        engines_by_prefix_key={
            read_bytes(key): str(name) for key, name in engines.items()
        },
        engines_by_broken_request={
            read_bytes(key): tuple(map(str, names)) for key, names in broken.items()
        },
        era=read_integer(era),
        configuration_version=read_integer(configuration_version),
        introductions=tuple(_decode_introduction(*each) for each in introductions),
        sightings=_check_size("sightings", read_bytes(sightings), SIGHTING.size),
        load_readings=_check_size("load readings", read_bytes(readings), READING.size),
        prefix_news=_decode_prefix_news(read_bytes(news), read_bytes(prefix_ages)),
        starts=_check_size("starts", read_bytes(starts), START.size),
        departures=_check_size("departures", read_bytes(departures), DEPARTURE.size),
        fleet_size=read_integer(fleet_size),
        fleet_size_age_seconds=max(0.0, read_seconds(fleet_size_age)),
        poison_news=_check_size(
            "poison news", read_bytes(poison_news), POISON_NEWS.size
        ),
        departure_reminders=_check_size(
            "departure reminders", read_bytes(reminders), REMINDER.size
        ),
        retry_usage=_check_size("retry usage", read_bytes(usage), USAGE.size),
        asks_former_usage=bool(asks_former),
        former_usage=_decode_former_usage(*former) if former is not None else None,
        news_by_topic={
            str(name): read_bytes(packed) for name, packed in news_by_topic.items()
        },
    )


def _encode_former_usage(former: FormerUsage | None) -> list | None:
    if former is None:
        return None
    return [former.incarnation, former.age_seconds, former.usages]


def _decode_former_usage(
    incarnation: int, age: float | None, usages: bytes
) -> FormerUsage:
    return FormerUsage(
        read_integer(incarnation),
        max(0.0, read_seconds(age)) if age is not None else None,
        _check_size("retry usage", read_bytes(usages), USAGE.size),
    )


def _check_size(name: str, packed: bytes, item_size: int) -> bytes:
    if len(packed) % item_size:
        raise ValueError(
            f"expected {name} of {item_size} bytes each, got {len(packed)} bytes"
        )
    return packed


def _decode_prefix_news(uses: bytes, ages: bytes) -> PrefixNews:
    _check_size("prefix news", uses, NEWS.size)
    count = len(uses) // NEWS.size
    if ages and len(ages) != count:
        raise ValueError(f"expected ages of {count} prefix uses, got {len(ages)}")
    return PrefixNews(uses, ages)


def _decode_introduction(
    host: str, incarnation: int, ip: str, zone: str, state: int, age: float
) -> Introduction:
    return Introduction(
        str(host),
        read_integer(incarnation),
        str(ip),
        str(zone),
        MemberState(state),
        read_seconds(age),
    )


def _decode_versions(versions: list) -> tuple[int, ...]:
    if len(versions) != len(FOLLOWED_TABLES):
        raise ValueError(
            f"heartbeat has row versions of {len(versions)} tables,"
            f" expected {len(FOLLOWED_TABLES)}"
        )
    return tuple(read_integer(version) for version in versions)


def _decode_changes(values: list) -> TableChanges:
    table, after, version, store_seconds, rows, *others = values
    page = Page(
        tuple(
            Row(
                str(key),
                None if value is None else read_bytes(value),
                read_integer(row_version),
            )
            for key, value, row_version in rows
        ),
        read_integer(version),
        read_seconds(store_seconds),
        False,
        read_integer(others[0]) if others else 0,
    )
    return TableChanges(FOLLOWED_TABLES[read_integer(table)], read_integer(after), page)
