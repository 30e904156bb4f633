"""Test that a failure in a coroutine fails its test."""

import testtools

from teaselpond_standins.testing import AsyncTestCase


class Failing(AsyncTestCase):
    """Fail in a coroutine."""

    # Excluded from collection by pytest, since its test must fail.
    __test__ = False

    async def test_fails(self) -> None:
        """Fail on purpose."""
        self.fail("on purpose")


class AsyncTestCaseTests(testtools.TestCase):
    """Test the base class of the asynchronous tests."""

    def test_async_failure_is_reported(self) -> None:
        """Report a coroutine's failed assertion as one failure."""
        result = testtools.TestResult()
        Failing("test_fails").run(result)
        self.assertEqual(1, len(result.failures))
        self.assertEqual(1, result.testsRun)
