"""Carry the news of optional features in heartbeats.

Each feature has a topic. A host without the feature ignores its news, so that
builds with and without it run side by side.
"""

from collections.abc import Iterable, Mapping
from typing import Protocol

from attrs import define, field


class Topic(Protocol):
    """Pack and merge the news of one feature.

    ``name`` identifies the feature in heartbeats. It is at most 16 characters
    long, as every heartbeat with news of it carries the name.
    """

    name: str

    def pack(self, now: float) -> bytes:
        """Return what to tell in the next round of heartbeats, or b"".

        The result goes to all receivers of the round. Its size must not grow
        with the number of hosts.
        """

    def merge(self, packed: bytes, host: str, now: float) -> None:
        """Record the news of a host; raise ValueError if malformed."""


@define
class Topics:
    """Hold the topics of the features that this host runs."""

    _topics_by_name: dict[str, Topic] = field(factory=dict)

    def add(self, topic: Topic) -> None:
        """Add a feature's topic."""
        self._topics_by_name[topic.name] = topic

    def pack(self, now: float) -> dict[str, bytes]:
        """Return the news of all topics that have any, by topic."""
        packed_by_name = {
            name: topic.pack(now) for name, topic in self._topics_by_name.items()
        }
        return {name: packed for name, packed in packed_by_name.items() if packed}

    def merge(
        self, news_by_topic: Mapping[str, bytes], host: str, now: float
    ) -> Iterable[str]:
        """Record a host's news; return the topics with malformed news."""
        malformed = []
        for name, packed in news_by_topic.items():
            topic = self._topics_by_name.get(name)
            if topic is None:
                continue
            try:
                topic.merge(packed, host, now)
            except ValueError:
                malformed.append(name)
        return malformed
