"""Check that each key of the document's policy reaches the daemon."""

import attrs
import testtools

from teaselpond.policy import PolicySettings
from teaselpond_model.configuration import PolicyItem

ORDER_KEYS = {"order_timeout_seconds", "order_concurrency", "capacity_floor_ratio"}


class PolicyItemTests(testtools.TestCase):
    """Compare the document's policy with the policy's settings."""

    def test_no_key_is_without_effect(self) -> None:
        """Find each key, with its default, in the settings."""
        item, settings = PolicyItem(), PolicySettings()
        for attribute in attrs.fields(PolicyItem):
            if attribute.name in ORDER_KEYS | {"policy_id"}:
                continue
            expected = getattr(settings, attribute.name)
            self.assertEqual(expected, getattr(item, attribute.name), attribute.name)
