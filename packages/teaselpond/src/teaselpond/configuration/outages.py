"""Track outages that are in force but not stored in the table yet.

An outage is an operator's order to take a zone or host out of service while
the table service is unavailable.
"""

from collections.abc import Iterable, Iterator
from typing import Any

import cattrs
from absl import logging
from attrs import define, field

from teaselpond_model.configuration import (
    CapacityInUse,
    Document,
    DocumentError,
    Outage,
    check_change,
)
from teaselpond_model.configuration.outages import apply_outage
from teaselpond_model.configuration.replica import Replica

OUTAGE_SECTIONS = ("zones", "hosts")


@define
class PendingOutages:
    """Hold outages by id until a stored version resolves them."""

    outages_by_id: dict[str, Outage] = field(factory=dict)

    def __iter__(self) -> Iterator[Outage]:
        return iter(tuple(self.outages_by_id.values()))

    def add(self, outages: Iterable[Outage], replica: Replica) -> bool:
        """Add the outages that are new; return whether there were any."""
        new_outages = [
            outage
            for outage in outages
            if outage.outage_id not in self.outages_by_id
            and not outage.is_resolved(replica)
        ]
        self.outages_by_id.update({outage.outage_id: outage for outage in new_outages})
        return bool(new_outages)

    def remove_resolved(self, replica: Replica) -> None:
        """Remove the outages that the replica's version resolves."""
        for outage in self:
            if outage.is_resolved(replica):
                del self.outages_by_id[outage.outage_id]

    def apply_to(self, document: Document) -> Document:
        """Return a copy of the document with every outage applied."""
        for outage in self:
            try:
                document = apply_outage(document, outage)
            except DocumentError as error:
                # This version does not contain the outage's zone, which
                # therefore gets no work.
                logging.warning("cannot apply an outage to the document: %s", error)
        return document


def check_outage(document: Document, outage: Outage) -> None:
    """Check that an outage is safe and that its zone or host exists.

    Raise DocumentInvalid if the change is dangerous, and DocumentError if it
    cannot be applied.
    """
    check_change(document, apply_outage(document, outage), CapacityInUse())


def parse_outage(value: Any) -> Outage:
    """Parse an operator's outage; raise ValueError if it is invalid."""
    try:
        outage = cattrs.structure(value, Outage)
    except (cattrs.BaseValidationError, TypeError) as error:
        raise ValueError(
            "expected an outage with outage_id, section, item_id and who"
        ) from error
    if outage.section not in OUTAGE_SECTIONS or not outage.outage_id:
        raise ValueError(
            f"expected a section of {', '.join(OUTAGE_SECTIONS)} and an outage_id, "
            f"found section {outage.section!r} and outage_id {outage.outage_id!r}"
        )
    return outage
