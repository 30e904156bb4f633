"""Check the prompt text and the prefix hashes."""

from hashlib import blake2b

import testtools

from teaselpond_model.prefixes import prefix_hashes, prompt_text


class PrefixTests(testtools.TestCase):
    """Check prompt texts and hashes of blocks."""

    def test_prompt_text(self) -> None:
        """Check contents that are strings, lists of parts or missing."""
        parts = [{"type": "text", "text": "b c"}, {"type": "image_url"}, 3]
        messages = ({"role": "system", "content": "a"}, {"role": "u", "content": parts})
        self.assertEqual("system: a\nu: b c\n", prompt_text(messages))
        self.assertEqual(": \n", prompt_text([{}]))

    def test_hashes_chain_whole_blocks(self) -> None:
        """Check that hashes are chained and a partial block has none."""
        tokens = [f"w{n}" for n in range(40)]
        first = blake2b(" ".join(tokens[:16]).encode(), digest_size=8).digest()
        second = blake2b(first + " ".join(tokens[16:32]).encode(), digest_size=8)
        expected = (first.hex(), second.hexdigest())
        self.assertEqual(expected, prefix_hashes("  ".join(tokens)))
        self.assertEqual(expected[:1], prefix_hashes(" ".join(tokens[:31])))
        self.assertEqual((), prefix_hashes(" ".join(tokens[:15])))
