"""Hold the orders that took zones and hosts out and aren't written down."""

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
    """Hold orders by their ids until a version settles them."""

    outages_by_id: dict[str, Outage] = field(factory=dict)

    def __iter__(self) -> Iterator[Outage]:
        return iter(tuple(self.outages_by_id.values()))

    def add(self, outages: Iterable[Outage], replica: Replica) -> bool:
        """Hold the orders that are news, and tell whether there were any."""
        news = [
            outage
            for outage in outages
            if outage.outage_id not in self.outages_by_id
            and not outage.is_resolved(replica)
        ]
        self.outages_by_id.update({outage.outage_id: outage for outage in news})
        return bool(news)

    def drop_settled(self, replica: Replica) -> None:
        """Forget the orders that a version settles."""
        for outage in self:
            if outage.is_resolved(replica):
                del self.outages_by_id[outage.outage_id]

    def on_top_of(self, document: Document) -> Document:
        """Return the document with every order carried out."""
        for outage in self:
            try:
                document = apply_outage(document, outage)
            except DocumentError as error:
                # A zone that this version doesn't know takes no work anyway.
                logging.warning("an order to take out has no effect: %s", error)
        return document


def check_outage(document: Document, outage: Outage) -> None:
    """Refuse an order that is plainly dangerous or has no object.

    Raise DocumentInvalid or DocumentError.
    """
    check_change(document, apply_outage(document, outage), CapacityInUse())


def outage_from_value(value: Any) -> Outage:
    """Read an operator's order; raise ValueError when it is not one."""
    try:
        outage = cattrs.structure(value, Outage)
    except (cattrs.BaseValidationError, TypeError) as error:
        raise ValueError("not an order") from error
    if outage.section not in OUTAGE_SECTIONS or not outage.outage_id:
        raise ValueError(f"allowed as section: {', '.join(OUTAGE_SECTIONS)}")
    return outage
