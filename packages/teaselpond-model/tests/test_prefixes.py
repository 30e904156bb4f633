"""Check the prefix hashes against the interface's page."""

from hashlib import blake2b

import testtools

from teaselpond_model.prefixes import prefix_hashes, prompt_text


class PrefixTests(testtools.TestCase):
    """Check texts, blocks and chains."""

    def test_prompt_text(self) -> None:
        """Join whole contents and contents in parts."""
        parts = [{"type": "text", "text": "b c"}, {"type": "image_url"}, 3]
        messages = ({"role": "system", "content": "a"}, {"role": "u", "content": parts})
        self.assertEqual("system: a\nu: b c\n", prompt_text(messages))
        self.assertEqual(": \n", prompt_text([{}]))

    def test_hashes_chain_whole_blocks(self) -> None:
        """Hash block by block, leaving a trailing partial block out."""
        words = [f"w{n}" for n in range(40)]
        first = blake2b(" ".join(words[:16]).encode(), digest_size=8).digest()
        second = blake2b(first + " ".join(words[16:32]).encode(), digest_size=8)
        expected = (first.hex(), second.hexdigest())
        self.assertEqual(expected, prefix_hashes("  ".join(words)))
        self.assertEqual(expected[:1], prefix_hashes(" ".join(words[:31])))
        self.assertEqual((), prefix_hashes(" ".join(words[:15])))
