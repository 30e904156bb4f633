"""Define the configuration that is in force in a daemon."""

import hashlib

from attrs import frozen

from teaselpond_model.configuration import Document, Outage
from teaselpond_model.configuration.digests import canonical_json
from teaselpond_model.configuration.replica import Replica

from .outages import PendingOutages

DIGEST_BYTES = 8


@frozen
class ConfigurationInForce:
    """Hold the document in force, its version and its digest.

    ``outages`` are the pending outages. They are applied in ``document``,
    but are not part of its version yet.
    """

    document: Document
    version: int
    digest: str
    table_version: int
    outages: tuple[Outage, ...] = ()


def build_in_force(replica: Replica, pending: PendingOutages) -> ConfigurationInForce:
    """Build the configuration from a replica and the pending outages."""
    outage_ids = sorted(outage.outage_id for outage in pending)
    text = canonical_json([replica.digests(), outage_ids])
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()
    return ConfigurationInForce(
        pending.apply_to(replica.document),
        replica.head.version,
        digest,
        replica.table_version,
        tuple(pending),
    )
