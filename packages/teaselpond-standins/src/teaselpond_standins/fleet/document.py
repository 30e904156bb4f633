"""Build the configuration document of a stand-in fleet."""

from typing import Any

from attrs import frozen

ORDER_SERVICE = "orders"
STOCK_SERVICE = "stock"
MODEL = "fitting"
WORKSPACES = ("axams", "imst", "landeck")


@frozen
class FleetPlan:
    """Define the zones of a fleet and the number of hosts in each."""

    zones: tuple[str, ...] = ("innsbruck", "landeck", "lienz")
    engines_per_zone: int = 2
    daemons: int = 4
    slots: int = 8
    cold_limit: int = 4

    def engine_ids(self) -> tuple[str, ...]:
        """Return the engines' host ids."""
        return tuple(
            f"engine-{zone}-{number}"
            for zone in self.zones
            for number in range(1, self.engines_per_zone + 1)
        )

    def daemon_ids(self) -> tuple[str, ...]:
        """Return the entry hosts' ids."""
        return tuple(f"entry-{number}" for number in range(1, self.daemons + 1))

    def zone_of_daemon(self, daemon_id: str) -> str:
        """Return the zone of an entry host."""
        return self.zones[self.daemon_ids().index(daemon_id) % len(self.zones)]


def fleet_document(plan: FleetPlan) -> dict[str, Any]:
    """Return the configuration document as tables for tomli_w."""
    return {
        "zones": {zone: {"region": "tyrol", "state": "in"} for zone in plan.zones},
        "capacity": {
            "pools": {
                MODEL: {
                    "model": MODEL,
                    "hosts": list(plan.engine_ids()),
                    "slots": plan.slots,
                    "cold_limit": plan.cold_limit,
                    "checks_fence": True,
                }
            }
        },
        "models": {MODEL: {"version": "1"}},
        "workspaces": {
            workspace: {
                "models": [MODEL],
                "services": [ORDER_SERVICE, STOCK_SERVICE],
            }
            for workspace in WORKSPACES
        },
        "services": {
            ORDER_SERVICE: {"hosts": ["service-orders"], "contract": "at-most-once"},
            STOCK_SERVICE: {"hosts": ["service-stock"], "contract": "idempotent"},
        },
    }
