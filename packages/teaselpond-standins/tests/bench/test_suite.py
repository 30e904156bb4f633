"""Test that the bench's runs hold what the policy promises."""

import testtools

from teaselpond_standins.bench.scenarios import Fault, Scenario
from teaselpond_standins.bench.suite import Job, run_job


class SuiteTests(testtools.TestCase):
    def test_a_zone_out_and_in_keeps_the_promises_and_repeats(self):
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
        worse = run_job(Job("small", "random", scenario)).result
        self.assertTrue(worse.reuse < result.reuse)
        self.assertTrue(worse.above_cap > result.above_cap)
