"""Run asynchronous tests under testtools."""

import asyncio
import functools
import inspect

import testtools

TEST_TIMEOUT_SECONDS = 60


class AsyncTestCase(testtools.TestCase):
    """Run coroutine test methods to their end, in a loop of their own."""

    def _get_test_method(self):
        method = super()._get_test_method()
        if not inspect.iscoroutinefunction(method):
            return method

        @functools.wraps(method)
        def run() -> None:
            asyncio.run(asyncio.wait_for(method(), TEST_TIMEOUT_SECONDS))

        return run
