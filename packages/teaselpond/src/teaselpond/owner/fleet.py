"""Derive the dispatch policy's inputs from configuration and membership."""

from collections.abc import Iterator, Mapping, Set

import attrs

from teaselpond_model.configuration import Document, PolicyItem
from teaselpond_model.contracts import Host

from ..links.loads import LOAD_LIFETIME_SECONDS
from ..policy import EngineProfile, PolicySettings

SERVING_ROLE = "serve"
SMALL_FLEET_DAEMONS = 14
SMALL_FLEET_SUM_STALE_SECONDS = 1.0


def build_profiles(
    document: Document,
    upstreams_by_id: Mapping[str, Host],
    held_ids: Set[str] = frozenset(),
) -> Iterator[EngineProfile]:
    """Yield a profile of each configured engine that is in the fleet.

    Skip pools of other roles than serving. Engines in ``held_ids`` are being
    changed and are marked as not available.
    """
    for pool in document.pools_by_id.values():
        if pool.role != SERVING_ROLE:
            continue
        for host_id in pool.hosts:
            host = upstreams_by_id.get(host_id)
            if host is None:
                continue
            yield EngineProfile(
                host=host,
                model=pool.model,
                slots=pool.slots,
                cold_limit=pool.cold_limit,
                available=host_id not in held_ids
                and document.is_host_in_service(host_id, host.zone),
            )


def build_policy_settings(policy: PolicyItem, daemon_count: int) -> PolicySettings:
    """Return the policy settings, with the values that the document sets.

    In a small fleet load sums are sent often, so a sum that is a second old
    indicates a failing daemon. In a large fleet they are sent only when
    they change, and stay usable for their whole lifetime.
    """
    is_small = daemon_count <= SMALL_FLEET_DAEMONS
    setting_names = {field.name for field in attrs.fields(PolicySettings)}
    return PolicySettings(
        sum_stale_seconds=(
            SMALL_FLEET_SUM_STALE_SECONDS if is_small else LOAD_LIFETIME_SECONDS
        ),
        **{
            field.name: getattr(policy, field.name)
            for field in attrs.fields(PolicyItem)
            if field.name in setting_names
        },
    )
