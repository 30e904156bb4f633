"""Describe the configuration that a daemon acts on."""

import hashlib

from attrs import frozen

from teaselpond_model.configuration import Document
from teaselpond_model.configuration.digests import canonical_json
from teaselpond_model.configuration.replica import Replica

DIGEST_BYTES = 8


@frozen
class ConfigurationInForce:
    """Hold the document in force, its version and its digest."""

    document: Document
    version: int
    digest: str
    table_version: int


def in_force_from(replica: Replica) -> ConfigurationInForce:
    """Return what a replica puts in force."""
    text = canonical_json(replica.digests())
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()
    return ConfigurationInForce(
        replica.document, replica.head.version, digest, replica.table_version
    )
