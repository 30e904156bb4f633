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
    """Run each coroutine test method in a new event loop.

    A method fails after TEST_TIMEOUT_SECONDS.
    """

    async def enter(self, manager: AbstractAsyncContextManager[T]) -> T:
        """Enter a context manager and exit it when the test method ends."""
        return await self._exit_stack.enter_async_context(manager)

    async def wait_until(
        self, condition: Callable[[], object], seconds: float = WAIT_SECONDS
    ) -> None:
        """Wait until a condition is true; fail after ``seconds``."""
        for _ in range(math.ceil(seconds / POLL_SECONDS)):
            if condition():
                return
            await asyncio.sleep(POLL_SECONDS)
        self.fail(f"the condition was not true within {seconds} s")

    def _get_test_method(self):
        method = super()._get_test_method()
        if not inspect.iscoroutinefunction(method):
            return method

        async def run_and_exit_contexts() -> None:
            async with AsyncExitStack() as self._exit_stack:
                await method()

        @functools.wraps(method)
        def run() -> None:
            asyncio.run(asyncio.wait_for(run_and_exit_contexts(), TEST_TIMEOUT_SECONDS))

        return run
