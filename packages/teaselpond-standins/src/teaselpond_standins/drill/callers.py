"""Send requests as callers do, in loops that end with the drill."""

import asyncio
import itertools
import json
import random
import time
from collections.abc import Callable, Sequence
from typing import Any

from attrs import define, evolve, field

from ..engine import expected_answer
from ..fleet.document import MODEL, ORDER_SERVICE, STOCK_SERVICE, WORKSPACES
from .calling import Call, Client, PartialAnswer
from .records import Attempt, DrillRecords, Ending, Work, WorkKind

CHATS_PER_CALLER = 12
MAX_TURNS = 4
THINK_SECONDS = 0.5
RETRY_SECONDS = 0.4
MAX_RETRY_SECONDS = 2.0
GIVE_UP_SECONDS = 60.0
MAX_RESUMPTIONS = 4
PLAN_POLL_SECONDS = 0.5
ORDER_REPEAT_SHARE = 0.3
CHAT_PATH = "/v1/chat/completions"


@define(eq=False)
class Callers:
    """Run the callers of a drill, which share a client and the records.

    Each caller is a loop that runs until ``ends_at``, in seconds of the wall
    clock. Its ``number`` identifies it among the callers of its kind.
    """

    client: Client
    records: DrillRecords
    addresses: Callable[[], Sequence[str]]
    seed: int
    ends_at: float
    _work_numbers: itertools.count = field(factory=itertools.count)

    @property
    def is_over(self) -> bool:
        """Return whether the time for starting new work has passed."""
        return time.time() >= self.ends_at

    def new_work(self, kind: WorkKind) -> Work:
        """Create a piece of work, add it to the records and return it."""
        work = Work(kind, f"{kind.value}-{next(self._work_numbers)}")
        self.records.work.append(work)
        return work

    async def run_chats(self, number: int) -> None:
        """Send turns of chats until the drill ends.

        Each turn repeats the earlier messages of its chat.
        """
        rng = random.Random(f"chat-{self.seed}-{number}")
        turns_by_chat: dict[str, list[dict[str, str]]] = {}
        while not self.is_over:
            chat = f"{number}-{rng.randrange(CHATS_PER_CALLER)}"
            messages = turns_by_chat.setdefault(chat, [])
            if len(messages) >= 2 * MAX_TURNS:
                messages.clear()
            words = rng.randint(5, 100)
            text = f"{chat} " + "scan " * rng.randint(10, 150) + f"words:{words}"
            messages.append({"role": "user", "content": text})
            work = self.new_work(WorkKind.CHAT)
            await self._run_chat_turn(work, chat, messages, rng)
            answer = {"role": "assistant", "content": work.expected}
            messages.append(answer)
            await asyncio.sleep(rng.uniform(0, 2 * THINK_SECONDS))

    async def send_labels(self, number: int) -> None:
        """Request short answers that are not streamed."""
        rng = random.Random(f"label-{self.seed}-{number}")
        while not self.is_over:
            work = self.new_work(WorkKind.LABEL)
            messages = [{"role": "user", "content": f"label {work.work_id} words:3"}]
            work.expected = expected_answer(messages)
            call = self._chat_call(work, rng, messages, {"X-Class": "label"})
            await self._retry(work, call, _read_answer)
            await asyncio.sleep(rng.uniform(0, 2 * THINK_SECONDS))

    async def place_orders(self, number: int) -> None:
        """Place orders, and repeat some of them after their confirmation."""
        rng = random.Random(f"order-{self.seed}-{number}")
        while not self.is_over:
            work = self.new_work(WorkKind.ORDER)
            call = Call(
                "POST",
                f"/v1/services/{ORDER_SERVICE}/orders",
                "",
                WORKSPACES[0],
                {"Idempotency-Key": work.work_id},
                {"shell": work.work_id},
            )
            await self._retry(work, call, str, stops_if_may_have_run=True)
            if work.result is not None and rng.random() < ORDER_REPEAT_SHARE:
                await self._try_once(work, call, 0)
            await asyncio.sleep(rng.uniform(0, 2 * THINK_SECONDS))

    async def look_up_stock(self, number: int) -> None:
        """Look up stock, with calls that are safe to repeat."""
        rng = random.Random(f"lookup-{self.seed}-{number}")
        while not self.is_over:
            work = self.new_work(WorkKind.LOOKUP)
            path = f"/v1/services/{STOCK_SERVICE}/shells/{work.work_id}"
            call = Call("GET", path, "", rng.choice(WORKSPACES), {})
            await self._retry(work, call, str)
            await asyncio.sleep(rng.uniform(0, 2 * THINK_SECONDS))

    async def submit_plans(self, number: int) -> None:
        """Submit jobs for fitting plans and wait for each result."""
        rng = random.Random(f"plan-{self.seed}-{number}")
        while not self.is_over:
            work = self.new_work(WorkKind.PLAN)
            words = rng.randint(30, 80)
            text = f"{work.work_id} " + "pressure " * 200 + f"words:{words}"
            messages = [{"role": "user", "content": text}]
            work.expected = expected_answer(messages)
            headers = {"Idempotency-Key": work.work_id}
            body = {"model": MODEL, "messages": messages}
            call = Call("POST", "/v1/jobs", "", WORKSPACES[1], headers, body)
            accepted = await self._retry(work, call, lambda _: None)
            if accepted is not None:
                work.accepted = True
                await self._await_plan(work, json.loads(accepted.text)["job_id"])
            await asyncio.sleep(rng.uniform(0, 4 * THINK_SECONDS))

    async def send_poison(self, word: str, times: int) -> None:
        """Send a poison request several times, to the daemons in turn."""
        work = self.new_work(WorkKind.POISON)
        messages = [{"role": "user", "content": f"{word} words:5"}]
        call = self._chat_call(work, random.Random(word), messages, {})
        for number in range(times):
            await self._try_once(work, call, number)
            await asyncio.sleep(RETRY_SECONDS)

    def _chat_call(
        self,
        work: Work,
        rng: random.Random,
        messages: list[dict[str, str]],
        headers: dict[str, str],
        **body: Any,
    ) -> Call:
        body = {"model": MODEL, "messages": list(messages), **body}
        return Call("POST", CHAT_PATH, "", rng.choice(WORKSPACES), headers, body)

    async def _run_chat_turn(
        self,
        work: Work,
        chat: str,
        messages: list[dict[str, str]],
        rng: random.Random,
    ) -> None:
        work.expected = expected_answer(messages)
        headers = {"X-Chat": chat}
        call = self._chat_call(work, rng, messages, headers, stream=True)
        deadline = time.time() + GIVE_UP_SECONDS
        while time.time() < deadline:
            partial = PartialAnswer()
            attempt = await self._stream(work, call, partial, chat)
            if attempt is not None and partial.is_whole:
                work.result = partial.text
                return
            await asyncio.sleep(RETRY_SECONDS)
        work.gave_up = True

    async def _stream(
        self, work: Work, call: Call, partial: PartialAnswer, chat: str
    ) -> Attempt | None:
        """Request a stream, and resume it on other daemons if it is cut.

        Return the last attempt, or None if no daemon could be located.
        """
        attempt = None
        for number in range(1 + MAX_RESUMPTIONS):
            address = await self._address(call.workspace, chat, number)
            if address is None:
                return attempt
            call = evolve(call, request_id=_attempt_id(work))
            if partial.last_event_id:
                headers = {**call.headers, "Last-Event-ID": partial.last_event_id}
                call = evolve(call, headers=headers)
            attempt = await self.client.stream(address, call, partial)
            work.attempts.append(attempt)
            if partial.is_whole or not partial.last_event_id:
                return attempt
            await asyncio.sleep(RETRY_SECONDS)
        return attempt

    async def _retry(
        self,
        work: Work,
        call: Call,
        read: Callable[[str], str | None],
        *,
        stops_if_may_have_run: bool = False,
    ) -> Attempt | None:
        """Retry a call until it is answered or the caller gives up.

        ``read`` extracts the result from the text of the answer. With
        ``stops_if_may_have_run``, stop at the first attempt that may have run.
        """
        deadline = time.time() + GIVE_UP_SECONDS
        for number in itertools.count():
            if time.time() >= deadline:
                break
            attempt = await self._try_once(work, call, number)
            if attempt is not None and attempt.ending is Ending.WHOLE:
                work.result = read(attempt.text)
                # Record only the text that the caller would display.
                work.attempts[-1] = evolve(attempt, text=work.result or "")
                return attempt
            if (
                stops_if_may_have_run
                and attempt is not None
                and attempt.run in MAY_HAVE_RUN
            ):
                break
            await asyncio.sleep(min(RETRY_SECONDS * (number + 1), MAX_RETRY_SECONDS))
        work.gave_up = True
        return None

    async def _try_once(self, work: Work, call: Call, number: int) -> Attempt | None:
        address = await self._address(call.workspace, "", number)
        if address is None:
            return None
        call = evolve(call, request_id=_attempt_id(work))
        attempt = await self.client.attempt(address, call)
        work.attempts.append(attempt)
        return attempt

    async def _address(self, workspace: str, chat: str, number: int) -> str | None:
        addresses = await self.client.locate(self.addresses(), workspace, chat)
        return addresses[number % len(addresses)] if addresses else None

    async def _await_plan(self, work: Work, job_id: str) -> None:
        deadline = time.time() + 2 * GIVE_UP_SECONDS
        while time.time() < deadline:
            call = Call("GET", f"/v1/jobs/{job_id}", "", WORKSPACES[1], {})
            address = await self._address(call.workspace, "", 0)
            if address is not None:
                attempt = await self.client.attempt(address, call)
                state = json.loads(attempt.text) if attempt.text else {}
                if state.get("state") == "done":
                    work.result = _read_answer(json.dumps(state["result"]))
                    return
                if state.get("state") == "failed":
                    work.result = f"failed: {state.get('reason')}"
                    return
            await asyncio.sleep(PLAN_POLL_SECONDS)


MAY_HAVE_RUN = frozenset({"may-have-run", "ran"})


def _attempt_id(work: Work) -> str:
    return f"{work.work_id}.{len(work.attempts) + 1}"


def _read_answer(text: str) -> str:
    return json.loads(text)["choices"][0]["message"]["content"]
