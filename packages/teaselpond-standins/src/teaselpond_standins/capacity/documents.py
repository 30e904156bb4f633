"""Measure the costs of loading, changing and sending a document."""

import json
import time
import tracemalloc

from attrs import asdict, frozen

from teaselpond.configuration.messages import ChangedEntry, ConfigurationDelta
from teaselpond.links import codec
from teaselpond_model.configuration import (
    AdminState,
    Document,
    ModelItem,
    PoolItem,
    WorkspaceItem,
    ZoneItem,
)
from teaselpond_model.configuration.proposals import DocumentProposal, StateProposal
from teaselpond_model.configuration.replica import Replica
from teaselpond_model.configuration.store import Author, Commit, ConfigurationStore
from teaselpond_model.contracts import TableEntry

from ..platform import MemoryTable

ZONES_PER_WORKSPACE = 17 / 2_800
MODELS_PER_WORKSPACE = 12 / 2_800
ENGINES_PER_WORKSPACE = 7_400 / 2_800
REPEATS = 20


@frozen
class DocumentCost:
    """Hold the costs at one size; times are processor times."""

    workspaces: int
    entries: int
    whole_bytes: int
    delta_json_bytes: int
    delta_cbor_bytes: int
    history_bytes: int
    load_milliseconds: float
    delta_milliseconds: float
    commit_milliseconds: float
    replica_kilobytes: int


def make_document(workspaces: int) -> Document:
    """Return a document with the design's proportions."""
    zones = max(round(workspaces * ZONES_PER_WORKSPACE), 3)
    models = max(round(workspaces * MODELS_PER_WORKSPACE), 1)
    engines = max(round(workspaces * ENGINES_PER_WORKSPACE), 6)
    names = [f"model-{number}" for number in range(models)]
    return Document(
        zones_by_id={
            f"zone-{number}": ZoneItem(f"zone-{number}", f"region-{number % 5}")
            for number in range(zones)
        },
        pools_by_id={
            name: PoolItem(
                name,
                name,
                tuple(f"engine-{each}" for each in range(number, engines, models)),
            )
            for number, name in enumerate(names)
        },
        models_by_id={name: ModelItem(name, "1") for name in names},
        workspaces_by_id={
            f"workspace-{number}": WorkspaceItem(
                f"workspace-{number}",
                tuple(names[:2]),
                key_digests=(f"{number:064x}",),
            )
            for number in range(workspaces)
        },
    )


async def measure_document(workspaces: int) -> DocumentCost:
    """Commit a document and zone changes, and measure the costs of both."""
    table = MemoryTable()
    store = ConfigurationStore(table)
    await _commit(store, DocumentProposal(make_document(workspaces), 0), Replica())
    page = await table.scan("config/")
    load_milliseconds = _median_milliseconds(
        lambda: Replica().with_entries(page.entries)
    )
    tracemalloc.start()
    replica = Replica().with_entries(page.entries)
    replica_kilobytes = tracemalloc.get_traced_memory()[0] // 1024
    tracemalloc.stop()
    commit_seconds = []
    for number in range(REPEATS):
        state = AdminState.IN if number % 2 else AdminState.OUT
        replica_before = await store.load(replica)
        started = time.process_time()
        await _commit(store, StateProposal("zones", "zone-0", state), replica_before)
        commit_seconds.append(time.process_time() - started)
    delta = await table.scan("config/", replica_before.table_version)
    history = await store.history(1, 2)
    return DocumentCost(
        workspaces=workspaces,
        entries=len(replica.entries_by_key),
        whole_bytes=_json_bytes(page.entries),
        delta_json_bytes=_json_bytes(delta.entries),
        delta_cbor_bytes=_cbor_bytes(delta.entries),
        history_bytes=len(json.dumps(history[0].to_value())),
        load_milliseconds=load_milliseconds,
        delta_milliseconds=_median_milliseconds(
            lambda: replica_before.with_entries(delta.entries)
        ),
        commit_milliseconds=round(1000 * sorted(commit_seconds)[REPEATS // 2], 3),
        replica_kilobytes=replica_kilobytes,
    )


def _median_milliseconds(operation) -> float:
    seconds = []
    for _ in range(REPEATS):
        started = time.process_time()
        operation()
        seconds.append(time.process_time() - started)
    return round(1000 * sorted(seconds)[REPEATS // 2], 3)


def _json_bytes(entries: tuple[TableEntry, ...]) -> int:
    return len(json.dumps({"entries": [asdict(each) for each in entries]}))


def _cbor_bytes(entries: tuple[TableEntry, ...]) -> int:
    changed = tuple(ChangedEntry(e.key, e.value, e.version) for e in entries)
    return len(codec.pack(ConfigurationDelta(1, 2, changed)))


async def _commit(store: ConfigurationStore, proposal, replica: Replica) -> None:
    edit = await store.edit(proposal, replica)
    commit = Commit(edit, Author("operator"), f"a-{replica.head.version}", 0.0)
    await store.commit(commit, replica)
