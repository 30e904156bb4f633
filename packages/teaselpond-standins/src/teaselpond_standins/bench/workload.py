"""Make callers' traces from a seed."""

from functools import lru_cache

import numpy as np
from attrs import evolve, frozen

from teaselpond.policy import RequestClass
from teaselpond.policy.hashing import hash64
from teaselpond.policy.prefixes import PREFIXES_PER_REQUEST, is_milestone

BLOCK_TOKENS = 16
SYSTEM_TOKENS = 1024
WORKSPACES = 10
TURNS_PER_CHAT = 6
PAUSE_SECONDS = 20.0
SURGE_PAUSE_SECONDS = 1.0
TOKENS_PER_TURN = 300
OUTPUT_TOKENS = 150
PLAN_TOKENS = 12_000
CLASS_SHARES = {
    RequestClass.INTERACTIVE: 0.75,
    RequestClass.LABEL: 0.17,
    RequestClass.PLAN: 0.08,
}


@frozen
class Turn:
    """Hold one request of a chat; ``at`` is in seconds of virtual time."""

    number: int
    at: float
    workspace: str
    chat: str
    request_class: RequestClass
    prompt_tokens: int
    output_tokens: int


@frozen
class Surge:
    """Multiply one workspace's chats between two times."""

    workspace: str = "w5"
    start: float = 0.0
    end: float = 0.0
    factor: float = 1.0


@lru_cache(maxsize=200_000)
def block_hash(owner: str, block: int) -> str:
    """Return a stand-in for the chain hash of a prompt's first blocks."""
    return f"{hash64(owner, str(block)):016x}"


@frozen
class Prefix:
    """Hold a prefix's hash and length."""

    hash: str
    tokens: int


@lru_cache(maxsize=10_000)
def milestones(blocks: int) -> tuple[int, ...]:
    """Return the milestones among so many blocks."""
    return tuple(block for block in range(1, blocks + 1) if is_milestone(block))


def prefixes_of(workspace: str, chat: str, tokens: int) -> list[Prefix]:
    """Return the prefixes at all milestones of so many tokens."""
    shared = SYSTEM_TOKENS // BLOCK_TOKENS
    return [
        Prefix(
            block_hash(workspace if block <= shared else chat, block),
            block * BLOCK_TOKENS,
        )
        for block in milestones(tokens // BLOCK_TOKENS)
    ]


def request_prefixes(workspace: str, chat: str, tokens: int) -> tuple[str, ...]:
    """Return the hashes that a request carries, as the daemon selects them."""
    chosen = prefixes_of(workspace, chat, tokens)[-PREFIXES_PER_REQUEST:]
    return tuple(prefix.hash for prefix in chosen)


def make_trace(
    seed: int, turns_per_second: float, seconds: float, surge: Surge
) -> list[Turn]:
    """Return the turns of chats that return after pauses, in order of time.

    Few workspaces are large: the n-th has a weight of 1/n.
    """
    random = np.random.default_rng(seed)
    weights = 1.0 / np.arange(1, WORKSPACES + 1)
    weights /= weights.sum()
    turns: list[Turn] = []
    chats_per_second = turns_per_second / TURNS_PER_CHAT
    lead = TURNS_PER_CHAT * PAUSE_SECONDS
    count = random.poisson(chats_per_second * (seconds + lead))
    for number in range(count):
        start = random.uniform(-lead, seconds)
        workspace = f"w{random.choice(WORKSPACES, p=weights)}"
        turns.extend(_chat(random, f"{seed}-{number}", workspace, start, seconds))
    turns.extend(_surging(random, seed, chats_per_second, weights, surge, seconds))
    turns.sort(key=lambda turn: turn.at)
    return [_numbered(turn, number) for number, turn in enumerate(turns)]


def _surging(random, seed, chats_per_second, weights, surge, seconds) -> list[Turn]:
    share = weights[int(surge.workspace[1:])]
    extra = (surge.factor - 1) * chats_per_second * share
    span = surge.end - surge.start
    turns: list[Turn] = []
    for number in range(random.poisson(extra * span)):
        start = random.uniform(surge.start, surge.end)
        chat = f"{seed}-surge-{number}"
        pause = SURGE_PAUSE_SECONDS
        turns.extend(
            turn
            for turn in _chat(random, chat, surge.workspace, start, seconds, pause)
            if turn.at < surge.end
        )
    return turns


def _chat(random, name, workspace, start, seconds, pause=PAUSE_SECONDS) -> list[Turn]:
    classes = list(CLASS_SHARES)
    chosen = classes[random.choice(len(classes), p=list(CLASS_SHARES.values()))]
    is_plan = chosen is RequestClass.PLAN
    is_label = chosen is RequestClass.LABEL
    mean_turns = 2 if is_plan else TURNS_PER_CHAT
    tokens = SYSTEM_TOKENS + (PLAN_TOKENS if is_plan else 0)
    turns = []
    at = start
    for _ in range(1 + random.poisson(mean_turns - 1)):
        tokens += int(random.gamma(2.0, TOKENS_PER_TURN / 2)) + 1
        output = int(random.gamma(2.0, OUTPUT_TOKENS / 2)) + 1
        output = 8 if is_label else output * 4 if is_plan else output
        if 0 <= at < seconds:
            turns.append(Turn(0, at, workspace, name, chosen, tokens, output))
        tokens += output
        at += output * 0.03 + random.exponential(pause)
    return turns


def _numbered(turn: Turn, number: int) -> Turn:
    return evolve(turn, number=number)
