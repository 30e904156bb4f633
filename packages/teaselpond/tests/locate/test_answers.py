"""Test the order and the lifetime of locate answers."""

from collections import Counter

import testtools
from attrs import evolve

from teaselpond.locate import LocateQuestion, LocateSettings, locate
from teaselpond.membership import Daemon, DaemonState, Membership
from teaselpond_model.contracts import Address

ALIVE, SUSPECT = DaemonState.ALIVE, DaemonState.SUSPECT
LEAVING, GONE = DaemonState.LEAVING, DaemonState.GONE


def make_daemon(number: int, zone: str, state: DaemonState = ALIVE) -> Daemon:
    """Return a daemon whose port for callers is its number."""
    address = Address("127.0.0.1", number)
    return Daemon(f"d{number}", 1, zone, address, address, state)


def ports(answer) -> list[int]:
    """Return the ports of an answer, which number its daemons."""
    return [address.port for address in answer.addresses]


class LocateTests(testtools.TestCase):
    """Test order, distribution and time to live."""

    def fleet(self, **states: DaemonState) -> Membership:
        """Return daemons 1 and 2 in zone a, and 3 and 4 in zone b."""
        daemons = [make_daemon(n, "a" if n < 3 else "b") for n in (1, 2, 3, 4)]
        daemons = [
            evolve(each, state=states.get(each.daemon_id, ALIVE)) for each in daemons
        ]
        return Membership({each.daemon_id: each for each in daemons})

    def test_order(self) -> None:
        """Return owners first, then alive, then near, then idle daemons."""
        for states, owners, zone, loads, expected in (
            ({}, ("d3",), "a", {"d1": 0.9}, [3, 2, 1, 4]),
            ({}, ("d3",), "", {"d1": 0.9}, [3, 4, 2, 1]),
            ({}, ("d3", "d2"), "a", {"d4": 0.1}, [3, 2, 1, 4]),
            ({}, ("gone", "d3"), "a", {"d1": 0.9}, [3, 2, 1, 4]),
            ({"d3": LEAVING}, ("d3",), "a", {"d1": 0.9}, [2, 1, 4]),
            ({"d1": SUSPECT}, (), "a", {"d4": 0.9}, [2, 3, 4, 1]),
            ({"d1": GONE, "d2": LEAVING}, (), "a", {"d4": 0.9}, [3, 4]),
            (dict.fromkeys(("d1", "d2", "d3", "d4"), LEAVING), ("d1",), "a", {}, [1]),
        ):
            answer = locate(
                self.fleet(**states),
                LocateQuestion("w", "c", "", zone),
                owners,
                loads,
                LocateSettings(),
            )
            self.assertEqual(expected, ports(answer)[: len(expected)], states)

    def test_first_places_are_distributed_evenly(self) -> None:
        """Return each daemon first for a similar number of questions."""
        daemons = [make_daemon(n, "a") for n in range(1, 8)]
        fleet = Membership({each.daemon_id: each for each in daemons})
        for questions in (
            [LocateQuestion("w", f"chat-{n}") for n in range(2800)],
            [LocateQuestion("w", "", f"caller-{n}") for n in range(2800)],
        ):
            answers = [locate(fleet, q, (), {}, LocateSettings()) for q in questions]
            firsts = Counter(ports(answer)[0] for answer in answers)
            self.assertEqual(7, len(firsts))
            self.assertTrue(max(firsts.values()) < 1.25 * 2800 / 7, firsts)
            ttls = {answer.ttl_seconds for answer in answers}
            self.assertTrue(20 < min(ttls) < 25 and 35 < max(ttls) < 40)

    def test_answer_is_stable_when_other_daemons_leave(self) -> None:
        """Return the same daemon for a chat after another one is removed."""
        daemons = [make_daemon(n, "a") for n in range(1, 8)]
        all_daemons = Membership({each.daemon_id: each for each in daemons})
        without_last = Membership({each.daemon_id: each for each in daemons[:-1]})
        settings = LocateSettings(address_limit=1)
        for number in range(200):
            question = LocateQuestion("w", f"chat-{number}")
            first = ports(locate(all_daemons, question, (), {}, settings))
            if first != [7]:
                self.assertEqual(
                    first, ports(locate(without_last, question, (), {}, settings))
                )

    def test_degraded_answers_have_short_lifetime(self) -> None:
        """Shorten the time to live when few daemons are alive."""
        states = {"d1": SUSPECT, "d2": SUSPECT, "d3": SUSPECT}
        answer = locate(
            self.fleet(**states), LocateQuestion("w", "c"), (), {}, LocateSettings()
        )
        self.assertEqual(LocateSettings().degraded_ttl_seconds, answer.ttl_seconds)
        self.assertEqual(4, ports(answer)[0])
        empty_answer = locate(
            Membership(), LocateQuestion("w"), (), {}, LocateSettings()
        )
        self.assertEqual((), empty_answer.addresses)
