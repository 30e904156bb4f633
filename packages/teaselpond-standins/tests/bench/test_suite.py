"""Test that the bench runs meet the policy's guarantees."""

import testtools

from teaselpond_standins.bench.scenarios import Fault, Scenario
from teaselpond_standins.bench.suite import Job, run_job


class SuiteTests(testtools.TestCase):
    def test_zone_removal_loses_no_work_and_is_reproducible(self):
        scenario = Scenario(
            Fault.ZONE, engines=8, zones=4, daemons=5, seconds=40.0, seed=5
        )
        first = run_job(Job("small", "teaselpond", scenario))
        result = first.result
        self.assertEqual(0, first.leaked_slots)
        self.assertEqual(0, result.cold_overruns)
        self.assertEqual(0, result.cut)
        self.assertEqual(0, result.work_for_zones_out)
        self.assertTrue(result.in_time > 0.95)
        self.assertEqual(result, run_job(Job("small", "teaselpond", scenario)).result)
        random_result = run_job(Job("small", "random", scenario)).result
        self.assertTrue(random_result.reuse < result.reuse)
        self.assertTrue(random_result.above_cap > result.above_cap)
