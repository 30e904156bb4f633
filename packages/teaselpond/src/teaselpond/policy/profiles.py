"""Describe an engine as the configuration and the host list show it."""

from attrs import frozen

from teaselpond_model.contracts import Host, HostState


@frozen
class EngineProfile:
    """Hold what the policy needs to know of an engine beforehand.

    ``slots`` is the number of requests that it may run at a time when warm,
    ``cold_limit`` the number when it is cold. ``available`` is False when
    operators have taken the host or its zone out. ``weight`` changes its
    share of chats beside its size.
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
        """Tell whether the engine may take new work."""
        return self.available and self.host.state is HostState.LIVE
