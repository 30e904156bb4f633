"""Test what requests are found to have in common."""

import tracemalloc

import testtools
from multidict import CIMultiDict

from teaselpond.gateway.configuration import Workspace
from teaselpond.gateway.traits import Scope, fingerprint_of, traits_of
from teaselpond_standins.testing.gateways import (
    make_call,
    make_head,
    make_prompt_traits,
)


class TraitTests(testtools.TestCase):
    """Name what requests have in common."""

    def test_parts_from_the_last_shared_one(self) -> None:
        """The part of its own is none, and the place of a part counts not."""
        traits = make_prompt_traits("a", "b")
        self.assertEqual(
            [
                Scope.REQUEST,
                Scope.LAST_SHARED_PART,
                Scope.EARLIER_PART,
                Scope.PATH,
            ],
            [trait.scope for trait in traits],
        )
        other = make_prompt_traits("b", "c", number=1)
        self.assertEqual(traits[1].fingerprint, other[2].fingerprint)
        self.assertNotEqual(traits[0].fingerprint, other[0].fingerprint)

    def test_long_ids_of_parts_are_not_kept(self) -> None:
        """Guards against callers that fill a host's memory with them."""
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before, _ = tracemalloc.get_traced_memory()
        for number in range(300):
            long_id = f"{number:015000x}"
            traits = make_prompt_traits(long_id, long_id + "0", number=number)
        after, _ = tracemalloc.get_traced_memory()
        self.assertEqual(4, len(traits))
        self.assertLess(after - before, 1_000_000)

    def test_request_without_a_prompt(self) -> None:
        """The whole request, or its path and body, is all they share."""
        self.assertEqual(
            [Scope.REQUEST, Scope.PATH],
            [each.scope for each in traits_of(make_call())],
        )

    def test_what_may_change_when_a_request_comes_again(self) -> None:
        """Its caller, path and body remain, and with them one trait."""
        first = make_call(head=make_head(target="/stock/x?page=1"), body=b"x")
        others = {
            "query": make_head(target="/stock/x?page=2&sort=new"),
            "no query": make_head(target="/stock/x"),
            "attempt id": make_head(target="/stock/x?page=1", request_id="other"),
            "deadline": make_head(target="/stock/x?page=1", deadline_seconds=0.1),
            "key": make_head(target="/stock/x?page=1", key="another of its keys"),
            "host": make_head(target="/stock/x?page=1", host="other.example"),
            "method": make_head(target="/stock/x?page=1", method="PUT"),
            "header": make_head(
                target="/stock/x?page=1", headers=CIMultiDict({"Accept": "*/*"})
            ),
            "last event": make_head(target="/stock/x?page=1", last_event_id="3"),
        }
        for name, head in others.items():
            traits = traits_of(make_call(head=head, body=b"x"))
            self.assertEqual(traits_of(first)[-1], traits[-1], name)

    def test_what_makes_another_request(self) -> None:
        """Another caller, path or body shares no trait."""
        head = make_head(target="/stock/x?page=1")
        first = set(traits_of(make_call(head=head, body=b"x")))
        others = {
            "body": make_call(head=head, body=b"y"),
            "path": make_call(head=make_head(target="/stock/y?page=1"), body=b"x"),
            "caller": make_call(head=head, body=b"x", workspace=Workspace("w2", None)),
        }
        for name, call in others.items():
            self.assertEqual(set(), first & set(traits_of(call)), name)

    def test_fingerprints(self) -> None:
        """Equal requests share a fingerprint, also those without a body."""
        call = make_call(body=b"x")
        self.assertEqual(fingerprint_of(call), fingerprint_of(make_call(body=b"x")))
        self.assertNotEqual(fingerprint_of(call), fingerprint_of(make_call(body=b"y")))
        call = make_call()
        self.assertEqual(fingerprint_of(call), fingerprint_of(make_call()))
        for fields in ({"target": "/stream/y"}, {"method": "GET"}):
            other = make_call(head=make_head(**fields))
            self.assertNotEqual(fingerprint_of(call), fingerprint_of(other))
        other = make_call(workspace=Workspace("w2", None))
        self.assertNotEqual(fingerprint_of(call), fingerprint_of(other))
