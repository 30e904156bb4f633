"""Estimate the costs at the design size from the measured points."""

from attrs import define, field

from . import design
from .fitting import Fit, fit
from .points import Points, StructurePoint

# A probe and its answer, each counted at the asking daemon and at the owner.
PROBE_FRAMES = 4


@define
class Estimates:
    """Hold the fits from which the capacity page is computed."""

    points: Points
    control_bytes: Fit = field(init=False)
    control_packet_bytes: Fit = field(init=False)
    control_processor: Fit = field(init=False)
    resident_bytes: Fit = field(init=False)
    relay: Fit = field(init=False)

    def __attrs_post_init__(self) -> None:
        control = self.points.control
        links = [point.lasting_links for point in control]
        loads_received = [point.loads_learned_per_second for point in control]
        grants = [point.grants_per_second for point in control]
        frames = [point.frames_per_second for point in control]
        self.control_bytes = fit(
            [point.bytes_per_second for point in control], links, loads_received, grants
        )
        self.control_packet_bytes = fit(
            [point.packet_bytes_per_second for point in control],
            links,
            loads_received,
            grants,
        )
        self.control_processor = fit(
            [point.processor_share for point in control], frames
        )
        self.resident_bytes = fit(
            [point.resident_bytes for point in control],
            [point.links for point in control],
        )
        relays = self.points.relays
        self.relay = fit(
            [point.processor_seconds for point in relays],
            [point.chats for point in relays],
            [point.tokens for point in relays],
        )

    def control_frames_at(self, remote_share: float) -> float:
        """Return a daemon's frames per second at the design size.

        ``remote_share`` is the share of requests whose grant is remote.
        """
        links = [point.lasting_links for point in self.points.control]
        loads_received = [
            point.loads_learned_per_second for point in self.points.control
        ]
        grants = [point.grants_per_second for point in self.points.control]
        frames = [point.frames_per_second for point in self.points.control]
        fitted = fit(frames, links, loads_received, grants)
        remote = remote_share * design.requests_per_daemon()
        predictors = (
            design.persistent_links_per_daemon(),
            design.loads_received_per_second(),
            remote,
        )
        return fitted.predict(*predictors) + PROBE_FRAMES * remote

    def control_bytes_at(self, remote_share: float, *, packets: bool) -> float:
        """Return a daemon's control bytes per second at the design size.

        ``packets`` adds the headers of one packet per frame.
        """
        fitted = self.control_packet_bytes if packets else self.control_bytes
        return fitted.predict(
            design.persistent_links_per_daemon(),
            design.loads_received_per_second(),
            remote_share * design.requests_per_daemon(),
        )

    def processor_share_at(self, remote_share: float) -> float:
        """Return the share of a core for control work at the design size."""
        return self.control_processor.predict(self.control_frames_at(remote_share))

    def memory_fit(self, structure: str) -> Fit:
        """Return the fit of a structure's memory in bytes against its size."""
        points = self._structure_points(structure)
        return fit([p.resident_bytes for p in points], [p.size for p in points])

    def operation_fit(self, structure: str) -> Fit:
        """Return the fit of an operation's seconds against the size."""
        points = self._structure_points(structure)
        return fit([p.operation_seconds for p in points], [p.size for p in points])

    def store_calls_fit(self, action: str, field_name: str) -> Fit:
        """Return the fit of a StorePoint field against the action count."""
        points = [each for each in self.points.stores if each.action == action]
        return fit(
            [getattr(each, field_name) for each in points],
            [each.count for each in points],
        )

    def _structure_points(self, structure: str) -> list[StructurePoint]:
        return [p for p in self.points.structures if p.structure == structure]
