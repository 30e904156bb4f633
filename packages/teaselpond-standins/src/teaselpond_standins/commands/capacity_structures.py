"""Measure the memory and time of the daemon's structures."""

from ..capacity.fleet_structures import FLEET_STRUCTURES
from ..capacity.measuring import measure
from ..capacity.points import describe_run, load_points, save_points
from ..capacity.policy_structures import POLICY_STRUCTURES


class CapacityStructuresCommand:
    """Measure structures at four sizes each, and keep the points."""

    name = "capacity-structures"

    def __call__(self) -> None:
        """Measure and print every structure."""
        run = describe_run(self.name)
        measured = []
        for structure in (*FLEET_STRUCTURES, *POLICY_STRUCTURES):
            for point in measure(structure):
                measured.append(point)
                print(
                    f"{point.structure:20} {point.size:5} "
                    f"{point.resident_bytes:12,} bytes "
                    f"{1e6 * point.operation_seconds:10.1f} us {structure.operation}",
                    flush=True,
                )
        points = load_points()
        points.runs["structures"] = run
        points.structures = measured
        save_points(points)
