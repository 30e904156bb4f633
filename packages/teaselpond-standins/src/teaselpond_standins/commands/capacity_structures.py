"""Measure the memory and time of the daemon's data structures."""

from ..capacity.fleet_structures import FLEET_STRUCTURES
from ..capacity.measuring import measure
from ..capacity.points import describe_run, load_points, save_points
from ..capacity.policy_structures import POLICY_STRUCTURES


class CapacityStructuresCommand:
    """Measure each structure at four sizes and store the points."""

    name = "capacity-structures"

    def __call__(self) -> None:
        """Measure every structure, print the points and store them."""
        run = describe_run(self.name)
        measured_points = []
        for structure in (*FLEET_STRUCTURES, *POLICY_STRUCTURES):
            for point in measure(structure):
                measured_points.append(point)
                print(
                    f"{point.structure:20} {point.size:5} "
                    f"{point.resident_bytes:12,} bytes "
                    f"{1e6 * point.operation_seconds:10.1f} us {structure.operation}",
                    flush=True,
                )
        points = load_points()
        points.runs["structures"] = run
        points.structures = measured_points
        save_points(points)
