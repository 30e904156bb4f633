"""Prove that an asynchronous failure fails its test."""

import testtools

from teaselpond_standins.testing import AsyncTestCase


class Failing(AsyncTestCase):
    """Fail inside a coroutine."""

    # Not collected: pytest only runs classes of this module that it can name.
    __test__ = False

    async def test_fails(self) -> None:
        """Fail on purpose."""
        self.fail("on purpose")


class AsyncTestCaseTests(testtools.TestCase):
    """Check the base class that every asynchronous test relies on."""

    def test_async_failure_is_reported(self) -> None:
        """See a coroutine's failing assertion as a failure."""
        result = testtools.TestResult()
        Failing("test_fails").run(result)
        self.assertEqual(1, len(result.failures))
        self.assertEqual(1, result.testsRun)
