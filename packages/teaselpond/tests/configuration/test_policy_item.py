"""Test that the policy settings contain each key of a document's policy."""

import attrs
import testtools

from teaselpond.policy import PolicySettings
from teaselpond_model.configuration import PolicyItem

ORDER_KEYS = {"order_timeout_seconds", "order_concurrency", "capacity_floor_ratio"}


class PolicyItemTests(testtools.TestCase):
    """Compare PolicyItem, which is stored, with PolicySettings."""

    def test_each_key_has_a_setting(self) -> None:
        """Find each key with the same default in the settings."""
        item, settings = PolicyItem(), PolicySettings()
        for attribute in attrs.fields(PolicyItem):
            if attribute.name in ORDER_KEYS | {"policy_id"}:
                continue
            expected = getattr(settings, attribute.name)
            self.assertEqual(expected, getattr(item, attribute.name), attribute.name)
