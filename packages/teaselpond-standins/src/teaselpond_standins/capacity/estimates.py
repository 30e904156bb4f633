"""Work the design size's figures out from the measured points."""

from attrs import define, field

from . import design
from .fitting import Fit, fit
from .points import Points, StructurePoint

# A probe and its answer at the asker, and at the owner.
PROBE_FRAMES = 4


@define
class Estimates:
    """Hold the fits that the page is worked out from."""

    points: Points
    control_bytes: Fit = field(init=False)
    control_packet_bytes: Fit = field(init=False)
    control_processor: Fit = field(init=False)
    resident_bytes: Fit = field(init=False)
    relay: Fit = field(init=False)

    def __attrs_post_init__(self) -> None:
        control = self.points.control
        links = [point.lasting_links for point in control]
        heard = [point.loads_learned_per_second for point in control]
        grants = [point.grants_per_second for point in control]
        frames = [point.frames_per_second for point in control]
        self.control_bytes = fit(
            [point.bytes_per_second for point in control], links, heard, grants
        )
        self.control_packet_bytes = fit(
            [point.packet_bytes_per_second for point in control], links, heard, grants
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

    def control_frames(self, remote_share: float) -> float:
        """Return a daemon's frames a second at the design size."""
        links = [point.lasting_links for point in self.points.control]
        heard = [point.loads_learned_per_second for point in self.points.control]
        grants = [point.grants_per_second for point in self.points.control]
        frames = [point.frames_per_second for point in self.points.control]
        fitted = fit(frames, links, heard, grants)
        remote = remote_share * design.requests_a_daemon()
        causes = (
            design.lasting_links_a_daemon(),
            design.loads_heard_per_second(),
            remote,
        )
        return fitted.at(*causes) + PROBE_FRAMES * remote

    def control_bytes_at(self, remote_share: float, *, packets: bool) -> float:
        """Return a daemon's control bytes a second at the design size."""
        fitted = self.control_packet_bytes if packets else self.control_bytes
        return fitted.at(
            design.lasting_links_a_daemon(),
            design.loads_heard_per_second(),
            remote_share * design.requests_a_daemon(),
        )

    def processor_at(self, remote_share: float) -> float:
        """Return the share of a core that control takes at the design size."""
        return self.control_processor.at(self.control_frames(remote_share))

    def memory(self, structure: str) -> Fit:
        """Return the fit of a structure's bytes by its size."""
        points = self._of(structure)
        return fit([p.resident_bytes for p in points], [p.size for p in points])

    def operation(self, structure: str) -> Fit:
        """Return the fit of an operation's seconds by the size."""
        points = self._of(structure)
        return fit([p.operation_seconds for p in points], [p.size for p in points])

    def store_calls(self, action: str, name: str) -> Fit:
        """Return the fit of a store's calls by the number of actions."""
        points = [each for each in self.points.stores if each.action == action]
        return fit(
            [getattr(each, name) for each in points], [each.count for each in points]
        )

    def _of(self, structure: str) -> list[StructurePoint]:
        return [p for p in self.points.structures if p.structure == structure]
