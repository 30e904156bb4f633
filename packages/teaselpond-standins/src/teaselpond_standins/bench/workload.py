"""Generate a reproducible trace of the turns that callers send."""

from functools import lru_cache

import numpy as np
from attrs import evolve, frozen

from teaselpond.policy import RequestClass
from teaselpond.policy.hashing import hash64
from teaselpond.policy.prefixes import PREFIXES_PER_REQUEST, is_milestone

BLOCK_TOKENS = 16
SYSTEM_PROMPT_TOKENS = 1024
WORKSPACES = 10
MEAN_TURNS_PER_CHAT = 6
MEAN_PAUSE_SECONDS = 20.0
MEAN_SURGE_PAUSE_SECONDS = 1.0
MEAN_TOKENS_PER_TURN = 300
MEAN_OUTPUT_TOKENS = 150
PLAN_TOKENS = 12_000
CLASS_SHARES = {
    RequestClass.INTERACTIVE: 0.75,
    RequestClass.LABEL: 0.17,
    RequestClass.PLAN: 0.08,
}


@frozen
class Turn:
    """Describe one request of a chat; ``sent_at`` is in virtual seconds."""

    number: int
    sent_at: float
    workspace: str
    chat: str
    request_class: RequestClass
    prompt_tokens: int
    output_tokens: int


@frozen
class Surge:
    """Describe a time span in which one workspace starts more chats.

    ``factor`` multiplies the workspace's usual rate; 1 means no surge.
    """

    workspace: str = "w5"
    start: float = 0.0
    end: float = 0.0
    factor: float = 1.0


@lru_cache(maxsize=200_000)
def block_hash(owner: str, block: int) -> str:
    """Return a made-up hash for a prompt prefix that ends at a block.

    The owner is the workspace for the shared system prompt, else the chat.
    """
    return f"{hash64(owner, str(block)):016x}"


@frozen
class Prefix:
    """Describe a prompt prefix by its hash and its length in tokens."""

    hash: str
    tokens: int


@lru_cache(maxsize=10_000)
def milestone_blocks(blocks: int) -> tuple[int, ...]:
    """Return which of the first ``blocks`` blocks are milestones."""
    return tuple(block for block in range(1, blocks + 1) if is_milestone(block))


def prefixes_of(workspace: str, chat: str, tokens: int) -> list[Prefix]:
    """Return the milestone prefixes of a prompt of ``tokens`` tokens."""
    system_blocks = SYSTEM_PROMPT_TOKENS // BLOCK_TOKENS
    return [
        Prefix(
            block_hash(workspace if block <= system_blocks else chat, block),
            block * BLOCK_TOKENS,
        )
        for block in milestone_blocks(tokens // BLOCK_TOKENS)
    ]


def request_prefixes(workspace: str, chat: str, tokens: int) -> tuple[str, ...]:
    """Return the prefix hashes of a request, as a daemon selects them."""
    selected = prefixes_of(workspace, chat, tokens)[-PREFIXES_PER_REQUEST:]
    return tuple(prefix.hash for prefix in selected)


def make_trace(
    seed: int, turns_per_second: float, seconds: float, surge: Surge
) -> list[Turn]:
    """Return the turns of many chats, ordered by time.

    Workspace sizes are skewed: the n-th has a weight of 1/n. Chats start
    before time zero too, so that the run begins with chats in progress.
    """
    rng = np.random.default_rng(seed)
    weights = 1.0 / np.arange(1, WORKSPACES + 1)
    weights /= weights.sum()
    turns: list[Turn] = []
    chats_per_second = turns_per_second / MEAN_TURNS_PER_CHAT
    lead_seconds = MEAN_TURNS_PER_CHAT * MEAN_PAUSE_SECONDS
    count = rng.poisson(chats_per_second * (seconds + lead_seconds))
    for number in range(count):
        start = rng.uniform(-lead_seconds, seconds)
        workspace = f"w{rng.choice(WORKSPACES, p=weights)}"
        turns.extend(_chat_turns(rng, f"{seed}-{number}", workspace, start, seconds))
    turns.extend(_surge_turns(rng, seed, chats_per_second, weights, surge, seconds))
    turns.sort(key=lambda turn: turn.sent_at)
    return [_with_number(turn, number) for number, turn in enumerate(turns)]


def _surge_turns(rng, seed, chats_per_second, weights, surge, seconds) -> list[Turn]:
    workspace_share = weights[int(surge.workspace[1:])]
    extra_chats_per_second = (surge.factor - 1) * chats_per_second * workspace_share
    surge_seconds = surge.end - surge.start
    turns: list[Turn] = []
    for number in range(rng.poisson(extra_chats_per_second * surge_seconds)):
        start = rng.uniform(surge.start, surge.end)
        chat = f"{seed}-surge-{number}"
        mean_pause = MEAN_SURGE_PAUSE_SECONDS
        turns.extend(
            turn
            for turn in _chat_turns(
                rng, chat, surge.workspace, start, seconds, mean_pause
            )
            if turn.sent_at < surge.end
        )
    return turns


def _chat_turns(
    rng, chat, workspace, start, seconds, mean_pause=MEAN_PAUSE_SECONDS
) -> list[Turn]:
    classes = list(CLASS_SHARES)
    request_class = classes[rng.choice(len(classes), p=list(CLASS_SHARES.values()))]
    is_plan = request_class is RequestClass.PLAN
    is_label = request_class is RequestClass.LABEL
    mean_turns = 2 if is_plan else MEAN_TURNS_PER_CHAT
    tokens = SYSTEM_PROMPT_TOKENS + (PLAN_TOKENS if is_plan else 0)
    turns = []
    sent_at = start
    for _ in range(1 + rng.poisson(mean_turns - 1)):
        tokens += int(rng.gamma(2.0, MEAN_TOKENS_PER_TURN / 2)) + 1
        output_tokens = int(rng.gamma(2.0, MEAN_OUTPUT_TOKENS / 2)) + 1
        output_tokens = (
            8 if is_label else output_tokens * 4 if is_plan else output_tokens
        )
        if 0 <= sent_at < seconds:
            turns.append(
                Turn(0, sent_at, workspace, chat, request_class, tokens, output_tokens)
            )
        tokens += output_tokens
        sent_at += output_tokens * 0.03 + rng.exponential(mean_pause)
    return turns


def _with_number(turn: Turn, number: int) -> Turn:
    return evolve(turn, number=number)
