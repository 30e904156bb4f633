"""Test commands against stand-ins of the platform and the daemons."""

import asyncio
import contextlib
import io
import json
import tempfile
from pathlib import Path
from typing import Any
from unittest import mock

from aiohttp import web
from aiohttp.test_utils import TestServer
from attrs import field, frozen

from teaselpond_ctl.__main__ import run
from teaselpond_model.contracts import Address, Host, HostKind, Put
from teaselpond_model.rollouts import Rollout, rollout_key
from teaselpond_standins.platform import PlatformFaultKind, PlatformStandin
from teaselpond_standins.testing import AsyncTestCase

DOCUMENT = """
[zones.innsbruck]
region = "tyrol"
[zones.lienz]
region = "tyrol"
[capacity.pools.fitting]
model = "fitting"
hosts = ["e1", "e2"]
slots = 8
[models.fitting]
version = "3"
[workspaces.axams]
models = ["fitting"]
"""
KEY = "operator-key-0123456789"


@frozen
class CommandResult:
    """Hold a command's exit code and its printed output."""

    code: int
    output: str
    errors: str

    @property
    def value(self) -> Any:
        """Return the parsed JSON output."""
        return json.loads(self.output)


@frozen
class FakeDaemon:
    """Answer operators' requests like a daemon."""

    daemon_id: str
    status: dict[str, Any] = field(factory=dict)
    lifted: list[str] = field(factory=list)
    outages: list[dict] = field(factory=list)

    def app(self) -> web.Application:
        """Return the application with the operators' routes."""
        app = web.Application(middlewares=[self._authorize])
        app.router.add_get("/ops/status", self._status)
        app.router.add_post("/ops/outages", self._order_outage)
        app.router.add_get("/ops/counters", self._counters)
        app.router.add_get("/ops/why/{request_id}", self._why)
        app.router.add_get("/ops/quarantine", self._quarantine)
        app.router.add_delete("/ops/quarantine/{fingerprint}", self._lift_quarantine)
        app.router.add_get("/v1/locate", self._locate)
        return app

    @web.middleware
    async def _authorize(self, request: web.Request, handler) -> web.StreamResponse:
        if request.headers.get("Authorization") != f"Bearer {KEY}":
            body = {"detail": "the operator's key is wrong"}
            return web.json_response(body, status=401)
        return await handler(request)

    async def _status(self, request: web.Request) -> web.Response:
        outages = [{k: v for k, v in o.items() if k != "force"} for o in self.outages]
        own = {"daemon_id": self.daemon_id, "outages": outages}
        return web.json_response({**self.status, **own})

    async def _order_outage(self, request: web.Request) -> web.Response:
        body = await request.json()
        if body["item_id"] == "ghost":
            return web.json_response({"detail": "not declared"}, status=400)
        self.outages.append(body)
        return web.json_response({"outage_id": body["outage_id"]})

    async def _counters(self, request: web.Request) -> web.Response:
        return web.json_response({"refused.overload": 2, "retried": 1})

    async def _why(self, request: web.Request) -> web.Response:
        if request.match_info["request_id"] != "1e5":
            return web.json_response({"detail": "not known"}, status=404)
        event = {"time": 12.5, "step": "place", "detail": "e1 is below its cap"}
        return web.json_response({"daemon_id": self.daemon_id, "events": [event]})

    async def _quarantine(self, request: web.Request) -> web.Response:
        row = {
            "fingerprint": "00af",
            "workspace": "axams",
            "deaths": ["e1/a", "e2/b"],
            "quarantined_until": 3600.0,
        }
        return web.json_response({"quarantine": [row]})

    async def _lift_quarantine(self, request: web.Request) -> web.Response:
        self.lifted.append(request.match_info["fingerprint"])
        return web.Response(status=204)

    async def _locate(self, request: web.Request) -> web.Response:
        text = f"{request.query['workspace']}/{request.query['chat']}"
        return web.json_response({"addresses": [text], "ttl_seconds": 10})


class CommandTests(AsyncTestCase):
    """Test the effects, the output and the exit codes of commands."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.environment = {"TEASELPOND_OPERATOR_KEY": KEY, "TEASELPOND_WHO": "ops"}

    def write(self, *changes: tuple[str, str], version: int | None = None) -> str:
        """Write the document with some text replaced and return its path."""
        text = DOCUMENT if version is None else f"version = {version}\n{DOCUMENT}"
        for old, new in changes:
            assert old in text
            text = text.replace(old, new)
        path = self.folder / f"document-{len(list(self.folder.iterdir()))}.toml"
        path.write_text(text)
        return str(path)

    async def run_ctl(
        self, *arguments: str, platform: PlatformStandin | None
    ) -> CommandResult:
        """Run one command in a separate thread."""
        command = [*arguments]
        if platform is not None:
            command.append(f"--platform={platform.base_url}")
        output, errors = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(errors),
            mock.patch.dict("os.environ", self.environment),
        ):
            code = await asyncio.to_thread(self._run_in_thread, command)
        return CommandResult(code, output.getvalue(), errors.getvalue())

    def _run_in_thread(self, command: list[str]) -> int:
        try:
            return run(command)
        except SystemExit as error:
            return error.code

    @contextlib.asynccontextmanager
    async def serve_daemon(
        self, platform: PlatformStandin, daemon_id: str, version: int
    ):
        """Serve a fake daemon and register its host."""
        engine = {
            "engine_id": "e1",
            "zone": "innsbruck",
            "model": "fitting",
            "in_flight": 9,
            "limit": 16,
            "queued": 0,
        }
        status = {
            "zone": "innsbruck",
            "state": "live",
            "config_version": version,
            "config_digest": "d1",
            "incarnation": "i1",
            "engines": [engine],
            "peers": [],
        }
        daemon = FakeDaemon(daemon_id, status)
        async with TestServer(daemon.app(), host="127.0.0.1") as server:
            address = Address("127.0.0.1", server.port)
            host = Host(daemon_id, address, "innsbruck", HostKind.ENTRY)
            await platform.hosts.register(host)
            yield daemon

    async def test_config_commands(self) -> None:
        """Apply, edit and roll back a document."""
        async with PlatformStandin() as platform:

            async def ctl(*arguments: str) -> CommandResult:
                return await self.run_ctl(*arguments, platform=platform)

            path = self.write()
            self.assertEqual(0, (await ctl("config", "check", path)).code)
            first = await ctl("config", "apply", path)
            self.assertEqual((0, ""), (first.code, first.errors))
            self.assertIn("accepted as version 1", first.output)
            shown = await ctl("config", "show")
            edited = self.folder / "edited.toml"
            edited.write_text(shown.output.replace('version = "3"', 'version = "4"'))
            diff = await ctl("config", "diff", str(edited))
            expected = '[models.fitting]\n- version = "3"\n+ version = "4"\n'
            self.assertEqual(expected, diff.output)
            applied = await ctl("config", "apply", str(edited), "--json")
            self.assertEqual(2, applied.value["version"])
            again = await ctl("config", "apply", str(edited))
            self.assertIn("nothing to change", again.output)
            back = await ctl("config", "rollback", "1", "--note=4 fails")
            self.assertIn("accepted as version 3", back.output)
            history = (await ctl("config", "history", "--json")).value
            self.assertEqual([3, 2, 1], [row["version"] for row in history])
            self.assertEqual(["ops"] * 3, [row["who"] for row in history])
            self.assertIn("4 fails", (await ctl("config", "history")).output)
            old = await ctl("config", "show", "--version=2", "--json")
            self.assertEqual("4", old.value["models"]["fitting"]["version"])

    async def test_refusals(self) -> None:
        """Exit with 1 for refused commands and 2 for usage errors."""
        async with PlatformStandin() as platform:
            await self.run_ctl("config", "apply", self.write(), platform=platform)
            out = ('"tyrol"', '"tyrol"\nstate = "out"')
            invalid = self.write(("[models.fitting]", "[models.x]"))
            for arguments, path, code, expected in (
                (("config", "check"), invalid, 1, ".toml: [capacity.pools"),
                (("config", "check"), "nowhere", 2, "can't be read"),
                (("config", "apply"), self.write(), 1, "--base=VERSION"),
                (("config", "apply", "--base=x"), self.write(), 2, "--base"),
                (("config", "apply", "--base=7"), self.write(), 1, "no version 7"),
                (("config", "rollback"), "9", 1, "no version 9"),
                (("config", "rollback"), "x", 2, "not a version"),
                (("zone", "out"), "ghost", 1, "allowed: innsbruck, lienz"),
                (("zone",), "sideways", 2, "sideways"),
                (("why",), "r1", 1, "no daemon"),
                (("status",), "--daemons=nobody", 2, "--daemons"),
                (("status",), "--daemons=127.0.0.1:1", 1, "no daemon answered"),
            ):
                result = await self.run_ctl(*arguments, path, platform=platform)
                self.assertEqual(code, result.code, (arguments, path, result))
                self.assertIn(expected, result.errors)
            danger = await self.run_ctl(
                "config", "apply", self.write(out, version=1), platform=platform
            )
            self.assertEqual(1, danger.code)
            self.assertIn("--force", danger.errors)
            forced = await self.run_ctl(
                *("config", "apply", self.write(out, version=1), "--force"),
                platform=platform,
            )
            self.assertEqual(0, forced.code, forced)
            stale = self.write(("[zones.lienz]", "[zones.imst]"), version=1)
            conflict = await self.run_ctl("config", "apply", stale, platform=platform)
            self.assertEqual(1, conflict.code)
            self.assertIn('+ state = "out"', conflict.errors)
            nowhere = await self.run_ctl("config", "show", platform=None)
            self.assertEqual(2, nowhere.code)
            self.assertIn("TEASELPOND_PLATFORM", nowhere.errors)
            platform.faults.add(PlatformFaultKind.REFUSE)
            away = await self.run_ctl("zone", "out", "lienz", platform=platform)
            self.assertEqual(1, away.code)
            self.assertIn("table", away.errors)

    async def test_fleet_commands(self) -> None:
        """Change the states of zones and hosts and query the daemons."""
        async with (
            PlatformStandin() as platform,
            self.serve_daemon(platform, "d1", 99) as first,
            self.serve_daemon(platform, "d2", 2),
        ):

            async def ctl(*arguments: str) -> CommandResult:
                result = await self.run_ctl(*arguments, "--json", platform=platform)
                self.assertEqual(0, result.code, result)
                return result

            await ctl("config", "apply", self.write())
            out = await ctl("zone", "out", "lienz")
            self.assertEqual([], out.value["not_in_force_on"])
            states = (await ctl("zone", "status")).value
            self.assertEqual(["in", "out"], [row["state"] for row in states])
            self.assertEqual([1, 0], [row["engines"] for row in states])
            back = await ctl("zone", "in", "lienz", "--wait_seconds=0.2")
            self.assertEqual(1, len(back.value["not_in_force_on"]))
            await ctl("host", "out", "e2", "--wait_seconds=0", "--force")
            await ctl("host", "in", "e2", "--wait_seconds=0")
            status = (await ctl("status")).value
            versions = {row["daemon"]: row["version"] for row in status["daemons"]}
            self.assertEqual({"d1": 99, "d2": 2}, versions)
            self.assertEqual("e1", status["engines"][0]["engine"])
            counters = (await ctl("counters", "--prefix=refused")).value
            self.assertEqual({"refused.overload": 4}, counters)
            events = (await ctl("why", "1e5")).value
            self.assertEqual(["d1", "d2"], sorted(row["daemon"] for row in events))
            self.assertEqual(1, len((await ctl("quarantine", "list")).value))
            lifted = (await ctl("quarantine", "lift", "00af")).value
            self.assertEqual({"lifted_on": 2, "daemons": 2}, lifted)
            self.assertEqual(["00af"], first.lifted)
            located = (await ctl("locate", "axams", "017")).value
            self.assertEqual(["axams/017"], located["addresses"])
            for command in ("status", "counters", "zone status", "quarantine list"):
                result = await self.run_ctl(*command.split(), platform=platform)
                self.assertGreater(len(result.output.splitlines()), 1, command)

    async def test_capacity_in_use_needs_force(self) -> None:
        """Refuse to take out a host whose slots are in use."""
        async with PlatformStandin() as platform, self.serve_daemon(platform, "d1", 9):
            await self.run_ctl("config", "apply", self.write(), platform=platform)
            host_out = ("host", "out", "e2", "--wait_seconds=0")
            refused = await self.run_ctl(*host_out, platform=platform)
            self.assertEqual(1, refused.code, refused)
            self.assertIn("8 slots are left for 9 requests", refused.errors)
            forced = await self.run_ctl(*host_out, "--force", platform=platform)
            self.assertEqual(0, forced.code, forced)

    async def test_outage_by_links(self) -> None:
        """Order an outage without the platform and withdraw it later."""
        async with (
            PlatformStandin() as platform,
            self.serve_daemon(platform, "d1", 9) as daemon,
        ):
            await self.run_ctl("config", "apply", self.write(), platform=platform)
            host = (await platform.hosts.list_hosts())[0]
            daemons = f"--daemons={host.address}"
            platform.faults.add(PlatformFaultKind.REFUSE)
            out = ("zone", "out", "lienz")
            away = await self.run_ctl(*out, platform=platform)
            self.assertEqual(1, away.code)
            self.assertIn("--by_links", away.errors)
            for item, code in (("lienz", 0), ("ghost", 1)):
                result = await self.run_ctl(
                    *("zone", "out", item, "--by_links", daemons), platform=platform
                )
                self.assertEqual(code, result.code, result)
            status = await self.run_ctl("status", daemons, platform=platform)
            self.assertIn("not stored yet: zones lienz out", status.output)
            platform.faults.clear()
            back = await self.run_ctl(
                *("zone", "in", "lienz", "--wait_seconds=0", "--json"),
                platform=platform,
            )
            key = f"config/entry/outages/{daemon.outages[0]['outage_id']}"
            self.assertEqual([key], back.value["changes"])

    async def test_rollouts(self) -> None:
        """Show the failed engines of a rollout and retry them."""
        stopped = Rollout("fitting:4:serve", frozenset({"e3"}), {"e1": "x", "e2": "y"})
        async with PlatformStandin() as platform:
            missing = await self.run_ctl(
                "rollout", "retry", "fitting", platform=platform
            )
            self.assertEqual(1, missing.code)
            put = Put(rollout_key("fitting"), stopped.to_value())
            await platform.table.transact((), (put,))
            shown = await self.run_ctl("rollout", "status", platform=platform)
            self.assertIn("stopped", shown.output)
            self.assertIn("e1: x", shown.output)
            again = await self.run_ctl("rollout", "retry", "fitting", platform=platform)
            self.assertEqual(0, again.code, again)
            shown = await self.run_ctl("rollout", "status", "--json", platform=platform)
            self.assertEqual(
                ["open", []], [shown.value[0][n] for n in ("state", "failed")]
            )

    async def test_wrong_operator_key_is_shown(self) -> None:
        """Show the reason why a daemon refused a request."""
        self.environment["TEASELPOND_OPERATOR_KEY"] = "wrong"
        async with PlatformStandin() as platform, self.serve_daemon(platform, "d1", 1):
            result = await self.run_ctl("status", platform=platform)
            self.assertEqual(1, result.code)
            self.assertIn("the operator's key is wrong", result.output)
