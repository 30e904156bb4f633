"""Serve a plain service's stand-in."""

import asyncio

from teaselpond_model.contracts import HostKind

from ..service import ServiceStandin
from ..serving import Registration, serve


class ServiceCommand:
    """Serve a plain service's stand-in until SIGTERM."""

    name = "service"

    def __call__(
        self,
        port: int = 0,
        platform: str = "",
        host_id: str = "service-1",
        zone: str = "zone-1",
        work_seconds: float = 0.01,
    ) -> None:
        """Serve calls that take ``work_seconds`` each."""
        standin = ServiceStandin(port=port, work_seconds=work_seconds)
        registration = Registration(platform, str(host_id), str(zone), HostKind.SERVICE)
        asyncio.run(serve(standin, registration))
