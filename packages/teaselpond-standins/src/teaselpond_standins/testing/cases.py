"""Run asynchronous tests under testtools."""

import asyncio
import functools
import inspect
import math
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager, AsyncExitStack
from typing import TypeVar

import testtools

TEST_TIMEOUT_SECONDS = 60
WAIT_SECONDS = 15.0
POLL_SECONDS = 0.01

T = TypeVar("T")


class AsyncTestCase(testtools.TestCase):
    """Run coroutine test methods to their end, in a loop of their own."""

    async def enter(self, manager: AbstractAsyncContextManager[T]) -> T:
        """Enter a context manager that is left when the test method ends."""
        return await self._exit_stack.enter_async_context(manager)

    async def wait_until(
        self, condition: Callable[[], object], seconds: float = WAIT_SECONDS
    ) -> None:
        """Wait until a condition holds; fail after a bounded time."""
        for _ in range(math.ceil(seconds / POLL_SECONDS)):
            if condition():
                return
            await asyncio.sleep(POLL_SECONDS)
        self.fail(f"did not hold within {seconds} s")

    def _get_test_method(self):
        method = super()._get_test_method()
        if not inspect.iscoroutinefunction(method):
            return method

        async def run_and_leave() -> None:
            async with AsyncExitStack() as self._exit_stack:
                await method()

        @functools.wraps(method)
        def run() -> None:
            asyncio.run(asyncio.wait_for(run_and_leave(), TEST_TIMEOUT_SECONDS))

        return run
