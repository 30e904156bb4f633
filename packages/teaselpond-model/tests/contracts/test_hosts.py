"""Check addresses."""

import testtools

from teaselpond_model.contracts import Address


class AddressTests(testtools.TestCase):
    """Check how addresses are read."""

    def test_parse_reads_what_str_writes(self) -> None:
        """Read back an address."""
        address = Address("127.0.0.1", 80)
        self.assertEqual(address, Address.parse(str(address)))

    def test_parse_refuses_other_text(self) -> None:
        """Refuse text without a port or an IP number."""
        for text in ("", "80", ":80", "1.2.3.4:", "1.2.3.4:x"):
            with testtools.ExpectedException(ValueError):
                Address.parse(text)
