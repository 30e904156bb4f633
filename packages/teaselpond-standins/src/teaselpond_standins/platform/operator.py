"""Build configurations in the format that the platform's operator writes."""

from typing import Any

KEY = "key-1"
HOST = "site.example"


def wire_configuration(version: int = 1, **fields: Any) -> dict[str, Any]:
    """Return a complete configuration document of the platform.

    ``fields`` replace top-level fields or add to them.
    """

    def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
        return {
            "Name": name,
            "Host": HOST,
            "Prefix": f"/{name}/",
            "Type": kind,
            "TimeoutMs": 3000,
            "SloMs": 300,
            "Priority": 1,
            "Service": service,
            "MaxAttempts": 2,
            "Public": False,
            "ItlTargetMs": 300,
            **more,
        }

    service = {
        "HealthPath": "/healthz",
        "MaxConns": 100,
        "ColdStartS": 0.0,
        "ColdPerS": 0.0,
    }
    return {
        "Version": version,
        "Routes": [
            route("stream", "stream", "model", Resumable=True),
            route("single", "stream", "model", Resumable=False, MaxAttempts=1),
            route("orders", "unsafe", "plain", MaxAttempts=1),
            route("stock", "safe", "plain"),
            route("open", "safe", "plain", Public=True),
        ],
        "Services": [
            {"Name": "model", "Engine": {"Slots": 64, "KvCapacity": 9}, **service},
            {"Name": "plain", **service},
        ],
        "Limits": {"MaxBodyBytes": 100_000},
        "Tenants": [{"Name": "w1", "ApiKeys": [KEY]}],
        **fields,
    }
