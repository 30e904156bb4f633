"""Play prompts of many parts, of which one crashes upstreams."""

import random

import testtools
from attrs import evolve

from teaselpond_standins.testing.accused_parts import Kind, Plan, Play

DRAWN_PLAYS = 30
COUNTS = (9, 33, 37, 100, 400, 1000)
# Enough that no two prompts have the same parts.
ANY = 10**6


def turns(count: int) -> tuple[str, ...]:
    """Return the parts of a chat, which another prompt of it has too."""
    return tuple(f"chat*turn{number}" for number in range(count))


CASE = Plan(
    crashing=Kind(("bad", *turns(35)), 2.0, 60),
    sound=Kind(("sound", *turns(35)), 8.0, 60),
    hosts=3,
    answer_seconds=0.4,
    crash_seconds=0.06,
    return_seconds=2.0,
    trouble_seconds=20.0,
)


class LongPromptTests(testtools.TestCase):
    """Guard against crashing parts of long prompts that are never refused.

    Bounds on what one prompt may accuse hid all parts but the last 32 (BUDGET,
    LOST).
    """

    def check(self, plan: Plan, seed: int = 0) -> None:
        """Check that crashing prompts are refused, and sound ones served."""
        play = Play(plan, random.Random(seed))
        play.run()
        self.assertEqual("", play.explain_failure(), seed)

    def check_parts(self, count: int, place: int, variants: int, **fields) -> None:
        """Check prompts with so many shared parts, one of which crashes."""
        others = turns(count - 1)
        crashing = (*others[:place], "bad", *others[place:])
        sound = (*others[:place], "sound", *others[place:])
        plan = evolve(
            CASE,
            crashing=Kind(crashing, CASE.crashing.per_second, variants),
            sound=Kind(sound, CASE.sound.per_second, variants),
            **fields,
        )
        self.check(plan)

    def test_any_number_of_parts(self) -> None:
        """The first part crashes upstreams."""
        for count in COUNTS:
            self.check_parts(count, 0, 60)

    def test_any_place(self) -> None:
        """The crashing part stands anywhere among a hundred."""
        for place in (1, 31, 50, 67, 68, 98, 99):
            self.check_parts(100, place, 60)

    def test_turns_that_are_new_in_each_prompt(self) -> None:
        """Nothing but the crashing part is in two of them."""
        for count in COUNTS:
            self.check_parts(count, 0, ANY)

    def test_one_chat(self) -> None:
        """All prompts have all parts but one in common."""
        for count in (37, 400):
            for place in (0, count // 2, count - 1):
                self.check_parts(count, place, 1)

    def test_one_chat_of_which_no_answer_is_known(self) -> None:
        """The trouble begins as soon as the hosts have started."""
        for place in (0, 150, 299):
            self.check_parts(300, place, 1, calm_seconds=0.0)

    def test_other_numbers_of_hosts(self) -> None:
        """Each sees a part of the crashes."""
        for hosts in (1, 2, 6, 24):
            self.check_parts(100, 0, ANY, hosts=hosts, engines=max(6, hosts))

    def test_short_crashing_prompts_beside_long_ones(self) -> None:
        """The parts of those that are cut too do not displace the evidence."""
        sound = Kind(("sound", *turns(1000)), 20.0, ANY)
        for per_second, engines in ((2.0, 6), (10.0, 30)):
            crashing = Kind(("bad", "document*"), per_second, 50)
            self.check(evolve(CASE, crashing=crashing, sound=sound, engines=engines))

    def test_short_prompts_beside_answered_long_ones(self) -> None:
        """Answers to many new parts do not hide which parts were answered."""
        plan = evolve(
            CASE,
            crashing=Kind(("bad", "document", "chapter"), 3.0),
            sound=Kind(("first", "document", "chapter"), 3.0),
            beside=Kind(turns(1000), 30.0, ANY),
            engines=12,
        )
        for seed in range(2):
            self.check(plan, seed)

    def test_long_prompts_that_are_always_the_same(self) -> None:
        """A caller sends them while upstreams crash, and is never answered."""
        same = Kind(tuple(f"part{number}" for number in range(1300)), 20.0)
        for answer_seconds in (0.4, 30.0):
            plan = evolve(CASE, sound=same, engines=12, answer_seconds=answer_seconds)
            self.check(plan)

    def test_drawn_plays(self) -> None:
        """Numbers, places, rates and times are drawn."""
        for seed in range(DRAWN_PLAYS):
            self.check(draw_plan(random.Random(seed)), seed)


def draw_plan(rng: random.Random) -> Plan:
    """Return a plan with long prompts of one or many chats."""
    count = rng.choice(COUNTS)
    place = rng.choice((0, 1, count // 2, count - 2, count - 1))
    common = rng.choice((0, 0, 3, count // 2))
    others = tuple(f"part{number}" for number in range(common))
    others += turns(count - 1 - common)
    if rng.random() < 0.3:
        others = others[::-1]
    crashing = (*others[:place], "bad", *others[place:])
    sound = others
    if rng.random() < 0.7:
        sound = (*others[:place], "sound", *others[place:])
    variants = rng.choice((1, 5, 60, ANY))
    return Plan(
        crashing=Kind(crashing, rng.choice((0.7, 2.0, 5.0, 12.0)), variants),
        sound=Kind(sound, rng.choice((3.0, 8.0, 30.0)), variants),
        hosts=rng.choice((1, 2, 3, 6)),
        engines=rng.choice((6, 12, 30)),
        attempts=rng.choice((1, 2, 3)),
        crash_seconds=rng.choice((0.01, 0.05, 0.3)),
        answer_seconds=rng.choice((0.1, 0.4, 1.6, 4.0)),
        return_seconds=rng.choice((1.0, 2.0, 5.0)),
        calm_seconds=rng.choice((0.0, 5.0)),
        is_answered_in_calm=rng.random() < 0.2,
    )
