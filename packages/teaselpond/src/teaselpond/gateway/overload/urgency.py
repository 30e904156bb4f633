"""Map the priorities of a configuration to the urgency classes of engines."""

import math
from collections import Counter
from collections.abc import Mapping

from attrs import define, field

from ..calls import Call
from ..configuration import Configuration

USUAL_CLASS = 5
LAST_CLASS = 9


def urgency_classes(configuration: Configuration, service: str) -> Mapping[int, int]:
    """Return the class of each priority that a service's calls can have.

    The most common priority has the usual class. The result is empty if the
    service runs no model or all priorities are alike.
    """
    known = configuration.services_by_name.get(service)
    if known is None or known.engine is None:
        return {}
    counts: Counter[int] = Counter()
    workspaces = set(configuration.workspaces_by_key.values())
    for route in configuration.routes:
        if service not in (part.name for part in route.services):
            continue
        if route.is_public or not workspaces:
            counts[route.priority] += 1
        for workspace in workspaces:
            has_own = workspace.priority is not None
            counts[workspace.priority if has_own else route.priority] += 1
    if len(counts) < 2:
        return {}
    usual = min(counts, key=lambda priority: (-counts[priority], priority))
    above = sorted((each for each in counts if each < usual), reverse=True)
    below = sorted(each for each in counts if each > usual)
    return {
        usual: USUAL_CLASS,
        **_spread(above, -USUAL_CLASS),
        **_spread(below, LAST_CLASS - USUAL_CLASS),
    }


def _spread(priorities: list[int], room: int) -> dict[int, int]:
    """Give priorities, from the usual one, classes in the same order.

    With more priorities than classes, neighbours share one.
    """
    step = min(1.0, abs(room) / max(1, len(priorities)))
    sign = 1 if room > 0 else -1
    return {
        priority: USUAL_CLASS + sign * max(1, math.ceil(number * step))
        for number, priority in enumerate(priorities, 1)
    }


@define
class Urgency:
    """Hold the classes of the configuration in force, by service."""

    _configuration: Configuration | None = None
    _classes_by_service: dict[str, Mapping[int, int]] = field(factory=dict)

    def class_of(
        self, call: Call, configuration: Configuration | None, *, is_hot: bool
    ) -> int | None:
        """Return the urgency class of a call, None to send none.

        Calls of a hot workspace are no more urgent than the usual ones: they
        would have engines preempt calls that are under way.
        """
        if configuration is None:
            return None
        if configuration is not self._configuration:
            self._configuration = configuration
            self._classes_by_service.clear()
        classes = self._classes_by_service.get(call.service)
        if classes is None:
            classes = urgency_classes(configuration, call.service)
            self._classes_by_service[call.service] = classes
        urgency = classes.get(call.priority)
        if urgency is not None and is_hot:
            return max(urgency, USUAL_CLASS)
        return urgency
