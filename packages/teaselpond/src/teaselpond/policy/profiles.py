"""Describe an engine by the configuration and the list of hosts."""

from attrs import frozen

from teaselpond_model.contracts import Host, HostState


@frozen
class EngineProfile:
    """Describe an engine's host, model and capacity.

    ``slots`` is the number of concurrent requests when the engine is warm,
    ``cold_limit`` the number after a cold start. ``available`` is False if
    operators have taken the host or its zone out of service. The engine's
    share of chats is proportional to ``slots`` times ``weight``.
    """

    host: Host
    model: str
    slots: int
    cold_limit: int = 1
    weight: float = 1.0
    available: bool = True

    @property
    def engine_id(self) -> str:
        """Return the id of the engine's host."""
        return self.host.host_id

    @property
    def takes_work(self) -> bool:
        """Return whether the engine is in service and its host is live."""
        return self.available and self.host.state is HostState.LIVE
