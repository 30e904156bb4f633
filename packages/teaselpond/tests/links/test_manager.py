"""Check links over real sockets, with and without faults."""

import asyncio
import contextlib
import random
import time

import cbor2
from attrs import frozen

from teaselpond.links import (
    AnswerLost,
    CallFailed,
    Done,
    Identity,
    LinkKeys,
    LinkManager,
    LinkSettings,
    Peer,
    PeerUnavailable,
    Superseded,
    codec,
    connections,
    handshake,
    manager,
    message,
)
from teaselpond.links.messages import Challenge, Frame
from teaselpond.links.peers import Address
from teaselpond_model.exceptions import ImproperlyConfigured, StoreUnavailable
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.relays import Relay, RelayMode
from teaselpond_standins.testing.waiting import wait_until

KEYS = LinkKeys((b"the-fleet",))
FAST_SETTINGS = LinkSettings(
    heartbeat_seconds=0.05,
    silence_seconds=0.4,
    handshake_seconds=0.5,
    redial_min_seconds=0.02,
    redial_max_seconds=0.1,
)
LOOPBACK = Address("127.0.0.1", 0)


@message("test-question")
@frozen
class Question:
    """Request an echo."""

    text: str


@message("test-echo")
@frozen
class Echo:
    """Answer a question."""

    text: str


def make_manager(
    daemon_id: str,
    incarnation: int = 1,
    keys: LinkKeys = KEYS,
    settings: LinkSettings = FAST_SETTINGS,
    boot_id: bytes = b"boot",
) -> LinkManager:
    """Return a manager that answers a Question with an Echo."""
    identity = Identity(daemon_id, incarnation, "zone-a", LOOPBACK, boot_id)
    links = LinkManager(identity, keys, settings, random.Random(daemon_id))
    links.handle(Question, lambda question, sender: Echo(question.text))
    return links


class ManagerTests(AsyncTestCase):
    """Check links between daemons, some of them through a relay."""

    @contextlib.asynccontextmanager
    async def started(self, *managers: LinkManager):
        """Run managers that know each other's addresses."""
        for links in managers:
            await links.start()
        peers = [
            Peer(links.identity.daemon_id, links.identity.address) for links in managers
        ]
        for links in managers:
            links.set_peers(peers)
        try:
            yield
        finally:
            for links in managers:
                await links.stop()

    @contextlib.asynccontextmanager
    async def relayed(self, mode: RelayMode = RelayMode.PASS, settings=FAST_SETTINGS):
        """Run ``a``, which reaches ``b`` through a relay, and ``b``."""
        a, b = make_manager("a", settings=settings), make_manager("b")
        async with self.started(a, b):
            relay = Relay(b.identity.address, mode)
            await relay.start()
            a.set_peers([Peer("b", relay.address)])
            try:
                yield a, b, relay
            finally:
                await relay.stop()

    async def test_neighbours_link_and_call(self) -> None:
        """Link both daemons, answer calls and receive one-way messages."""
        a, b = make_manager("a"), make_manager("b")
        senders = []
        b.handle(Done, lambda done, sender: senders.append(sender.daemon_id))
        async with self.started(a, b):
            a.set_neighbours(["b"])
            b.set_neighbours(["a"])
            await wait_until(lambda: a.linked_peers() and b.linked_peers())
            self.assertEqual(Echo("x"), await a.call("b", Question("x"), 5))
            self.assertEqual(Echo("y"), await b.call("a", Question("y"), 5))
            self.assertEqual(1, a.broadcast(Done()))
            await wait_until(lambda: senders == ["a"])
            self.assertEqual("zone-a", a.linked_peers()["b"].zone)
            link = a.persistent_links()[0]
            await asyncio.sleep(2 * FAST_SETTINGS.silence_seconds)
            self.assertEqual("", link.close_reason)

    async def test_simultaneous_dials_keep_one_link(self) -> None:
        """Close the second link when both ends dial at once."""
        a, b = make_manager("a"), make_manager("b")
        async with self.started(a, b):
            await asyncio.gather(
                a._dial("b", persistent=True), b._dial("a", persistent=True)
            )
            await wait_until(lambda: a.link_count() == b.link_count() == 1)
            self.assertTrue(a.persistent_links()[0].dialed)

    async def test_on_demand_link_is_shared_and_closed_when_idle(self) -> None:
        """Open one link for many calls, and close it when unused."""
        settings = LinkSettings(heartbeat_seconds=0.05, idle_seconds=0.3)
        a, b = make_manager("a", settings=settings), make_manager("b")
        async with self.started(a, b):
            await asyncio.gather(*(a.call("b", Question("x"), 5) for _ in range(50)))
            self.assertEqual(1, a.link_count())
            self.assertEqual(0, a.traffic.frames_sent_by_kind["beat"])
            await wait_until(lambda: a.link_count() == b.link_count() == 0)

    async def test_call_errors_have_types(self) -> None:
        """Distinguish unsent calls, lost answers and failures."""
        a, b = make_manager("a"), make_manager("b")

        async def fail_or_hang(question: Question, sender: Identity) -> Echo:
            if question.text == "store":
                raise StoreUnavailable("down", step="read")
            await asyncio.sleep(60)

        b.handle(Question, fail_or_hang)
        async with self.started(a, b):
            for daemon_id, question, error in (
                ("nobody", Question("x"), PeerUnavailable),
                ("b", Question("hang"), AnswerLost),
                ("b", Question("store"), CallFailed),
                ("b", Done(), CallFailed),
            ):
                with self.expect_error(error) as errors:
                    await a.call(daemon_id, question, 0.3)
                self.assertEqual(daemon_id, errors[0].peer)
                self.assertTrue(errors[0].step)

    @contextlib.contextmanager
    def expect_error(self, expected: type[Exception]):
        """Assert that the block raises the error, and yield a list with it."""
        errors = []
        try:
            yield errors
        except expected as error:
            errors.append(error)
        self.assertEqual(1, len(errors), expected)

    async def test_links_recover_from_relay_faults(self) -> None:
        """Reopen links that were dropped, cut, refused or silent."""

        def silence_connections(relay: Relay) -> None:
            relay.silence_connections()

        def cut_connections(relay: Relay) -> None:
            relay.cut_connections()

        def refuse_connections(relay: Relay) -> None:
            relay.mode = RelayMode.REFUSE
            relay.cut_connections()

        def silence_relay(relay: Relay) -> None:
            relay.mode = RelayMode.SILENT
            relay.silence_connections()

        for break_connections in (
            silence_connections,
            cut_connections,
            refuse_connections,
            silence_relay,
        ):
            async with self.relayed() as (a, b, relay):
                a.set_neighbours(["b"])
                await wait_until(a.linked_peers)
                first = a.persistent_links()[0]
                break_connections(relay)
                await wait_until(first.closed.is_set)
                if relay.mode is not RelayMode.PASS:
                    await self.wait_for_dials(relay, 3)
                    self.assertEqual({}, a.linked_peers())
                relay.mode = RelayMode.PASS
                await wait_until(a.linked_peers)
                self.assertEqual(Echo("x"), await a.call("b", Question("x"), 5))

    async def wait_for_dials(self, relay: Relay, count: int) -> None:
        """Wait until a relay was dialed ``count`` more times."""
        expected_count = relay.accepted + count
        await wait_until(lambda: relay.accepted >= expected_count)

    async def test_call_succeeds_after_unused_link_was_dropped(self) -> None:
        """Probe an unused on-demand link before sending a call on it."""
        async with self.relayed() as (a, b, relay):
            await a.call("b", Question("x"), 5)
            relay.silence_connections()
            await asyncio.sleep(FAST_SETTINGS.silence_seconds + 0.1)
            self.assertEqual(Echo("y"), await a.call("b", Question("y"), 5))

    async def test_invalid_frames_keep_link_open(self) -> None:
        """Count and ignore invalid frames; close on oversized ones."""
        a, b = make_manager("a"), make_manager("b")
        async with self.started(a, b):
            link = await a._dial("b", persistent=True)
            for content in (b"\xff", "text", cbor2.dumps(["no-such", []]), b""):
                await link.connection.send(content)
            self.assertEqual(Echo("x"), await a.call("b", Question("x"), 5))
            self.assertEqual(3, b.traffic.faults_by_reason["MalformedFrame"])
            self.assertEqual(1, b.traffic.faults_by_reason["UnknownMessage"])
            answer = asyncio.get_running_loop().create_future()
            link._answers_by_call_id[77] = answer
            await link.connection.send(cbor2.dumps(["no-such", [], 1, 77]))
            async with asyncio.timeout(5):
                self.assertEqual("unknown-message", (await answer).reason)
            await link.connection.send(bytes(2 << 20))
            await wait_until(link.closed.is_set)
            self.assertEqual(Echo("x"), await a.call("b", Question("x"), 5))

    async def test_daemons_with_unknown_keys_are_refused(self) -> None:
        """Refuse peers in either direction that sign with an unknown key."""
        for own, other, linked in (
            ((b"one",), (b"two",), False),
            ((b"old", b"new"), (b"old",), True),
            ((b"old", b"new"), (b"new", b"old"), True),
            ((b"old", b"new"), (b"new",), False),
        ):
            a = make_manager("a", keys=LinkKeys(own))
            b = make_manager("b", keys=LinkKeys(other))
            async with self.started(a, b):
                if linked:
                    await a.call("b", Question("x"), 5)
                else:
                    with self.expect_error(PeerUnavailable):
                        await a.call("b", Question("x"), 5)
                    self.assertEqual(0, a.link_count() + b.link_count())
        self.assertRaises(ImproperlyConfigured, LinkKeys, (b"",))

    async def test_listener_without_key_is_refused(self) -> None:
        """Refuse a listener that claims a daemon's id without a valid key."""

        async def impersonate_b(connection) -> None:
            wrong_keys = LinkKeys((b"guessed",))
            await connection.send(codec.encode(Frame(Challenge(b"nonce"))))
            await connection.recv()
            identity = Identity("b", 1, "zone-a", LOOPBACK)
            hello = handshake._make_hello(
                identity, wrong_keys, handshake.ACCEPTOR, b"", b"", True
            )
            await connection.send(codec.encode(Frame(hello)))
            await connection.wait_closed()

        server = await connections.listen(LOOPBACK, impersonate_b, 5)
        a = make_manager("a")
        async with self.started(a):
            a.set_peers([Peer("b", connections.bound_address(server))])
            with self.expect_error(PeerUnavailable):
                await a.call("b", Question("x"), 5)
        server.close()
        await server.wait_closed()

    async def test_connection_without_hello_is_closed(self) -> None:
        """Close connections that send no Hello or something else."""
        b = make_manager("b")
        async with self.started(b):
            for content in (None, b"\xff", "text", cbor2.dumps(["beat", []])):
                connection = await connections.connect(b.identity.address, 5)
                await connection.recv()
                if content is not None:
                    await connection.send(content)
                async with asyncio.timeout(5):
                    await connection.wait_closed()
            self.assertEqual(4, b.traffic.faults_by_reason["accept"])

    async def test_wrong_daemon_at_address_is_refused(self) -> None:
        """Refuse a link to a daemon other than the one dialed."""
        a, b = make_manager("a"), make_manager("b")
        async with self.started(a, b):
            a.set_peers([Peer("c", b.identity.address)])
            with self.expect_error(PeerUnavailable):
                await a.call("c", Question("x"), 5)

    async def test_older_run_is_refused_after_newer_one(self) -> None:
        """Keep links to the newest run of a daemon only."""
        for old_rank, new_rank in (((1, b"x"), (2, b"a")), ((2, b"a"), (2, b"b"))):
            old = make_manager("a", old_rank[0], boot_id=old_rank[1])
            new = make_manager("a", new_rank[0], boot_id=new_rank[1])
            b = make_manager("b")
            events = []
            old.events.subscribe(events.append)
            async with self.started(old, b), self.started(new):
                new.set_peers([Peer("b", b.identity.address)])
                first = await old._dial("b", persistent=True)
                # Simulates a pause that is longer than the startup grace time.
                old._started_at -= manager.STARTUP_GRACE_SECONDS + 1
                await new._dial("b", persistent=True)
                await wait_until(first.closed.is_set)
                with self.expect_error(PeerUnavailable):
                    await old._dial("b", persistent=True)
                self.assertIn(Superseded(new_rank[0]), events)
                self.assertEqual(new_rank[0], b.linked_peers()["a"].incarnation)

    async def test_daemon_links_after_clock_was_set_back(self) -> None:
        """Raise the incarnation of a daemon that has just started."""
        b = make_manager("b")
        async with self.started(b):
            for incarnation in (5, 3):
                a = make_manager("a", incarnation)
                async with self.started(a):
                    a.set_peers([Peer("b", b.identity.address)])
                    a.set_neighbours(["b"])
                    await wait_until(a.linked_peers)
            self.assertEqual(6, a.identity.incarnation)

    async def test_own_pause_does_not_time_out_peer(self) -> None:
        """Keep links when this process itself was paused."""
        a, b = make_manager("a"), make_manager("b", settings=LinkSettings())
        async with self.started(a, b):
            link = await a._dial("b", persistent=True)
            # Blocks the loop on purpose, as a stopped process would.
            time.sleep(FAST_SETTINGS.silence_seconds * 2)  # noqa: ASYNC251
            await asyncio.sleep(FAST_SETTINGS.heartbeat_seconds)
            self.assertEqual("", link.close_reason)
