"""Describe a request to explain, and its explanation."""

from collections.abc import Mapping

from attrs import define, field, frozen

from ..calls import Prompt

# Stands for the id of a request if none is given. It decides the service of a
# route with several, and the version in a roll-out.
DEFAULT_REQUEST_ID = "explained"


@frozen
class Question:
    """Describe a request that is not sent.

    It is for a ``host`` and ``path``, or for the route with a name.
    """

    host: str = ""
    path: str = ""
    route: str = ""
    workspace: str = ""
    prompt: Prompt | None = None
    request_id: str = DEFAULT_REQUEST_ID


@frozen
class Obstacle:
    """Describe what would refuse or hold a request now.

    ``retry_seconds`` is the mean time to come back, None if that is of no use;
    ``held_seconds`` is set if the request waits instead. ``chance`` is the
    part of such requests that it applies to.
    """

    reason: str
    status: int | None
    detail: str = ""
    retry_seconds: float | None = None
    held_seconds: float | None = None
    chance: float = 1.0


@frozen
class VersionShare:
    """Describe the roll-out of a service.

    ``share`` is the part of requests that go to the new version; during the
    trial, the most that may.
    """

    to_version: str
    stage: str
    share: float


@define
class UpstreamExplanation:
    """Describe an upstream as a request would find it.

    ``left_out`` is the reason why the request does not go there, empty if it
    may. ``rank`` is the position in the order of preference, None if there is
    no order. ``load_age_seconds`` is None if the load is not known.
    """

    upstream: str
    zone: str
    version: str
    left_out: str
    load: int
    load_age_seconds: float | None
    slowness: float
    cold_seconds: float
    is_held: bool
    is_candidate: bool = False
    rank: int | None = None
    chance: float = 0.0


@define
class Explanation:
    """Explain where a request would go.

    ``choice`` is the upstream, empty if it is random or there is none.
    ``is_random`` tells that it is chosen by capacity and chance;
    ``is_estimated`` that chances were found by repeated choices.
    ``upstreams`` are the most likely of ``upstream_count``, and
    ``counts_by_reason`` counts all that are left out.
    """

    gateway: str
    configuration_version: int | None = None
    route: str = ""
    service: str = ""
    choice: str = ""
    copy_from: str = ""
    is_random: bool = False
    is_estimated: bool = False
    mean_load: float = 0.0
    load_limit: int = 0
    rollout: VersionShare | None = None
    obstacles: list[Obstacle] = field(factory=list)
    upstream_count: int = 0
    counts_by_reason: Mapping[str, int] = field(factory=dict)
    upstreams: list[UpstreamExplanation] = field(factory=list)
