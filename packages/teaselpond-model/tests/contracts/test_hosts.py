"""Check the parsing of addresses."""

import testtools

from teaselpond_model.contracts import Address


class AddressTests(testtools.TestCase):
    """Check the text form of addresses."""

    def test_parse_reads_what_str_writes(self) -> None:
        """Check that a formatted address parses to the same address."""
        address = Address("127.0.0.1", 80)
        self.assertEqual(address, Address.parse(str(address)))

    def test_parse_refuses_other_text(self) -> None:
        """Check that text without an IP address or a port is refused."""
        for text in ("", "80", ":80", "1.2.3.4:", "1.2.3.4:x"):
            with testtools.ExpectedException(ValueError):
                Address.parse(text)
