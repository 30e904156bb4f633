"""Stand-ins and process control that the cases of this review share.

Only the standard library is used. Everything listens on loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

REPO = Path(__file__).resolve().parents[2]
HOST = "site.example"
KEY = "key-of-tenant-a"
TENANT = "tenant-a"
ZONES = ("muscat-a", "muscat-b", "sohar-c")
NET = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"


def free_port(ip):
    """Return a port that is free on an address."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Record:
    """Write what happens to ``record.txt`` in the folder of a case."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w")

    def __call__(self, text):
        line = f"{time.monotonic() - self.started:8.3f} s  {text}"
        print(line, file=self.file, flush=True)
        print(line, flush=True)


async def read_head(reader):
    """Return the start line and the headers by lower-case name."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Return a body that has a length or chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def response(status, headers=(), body=b""):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in dict(headers).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Server:
    """Listen on a loopback address; ``serve`` handles one connection."""

    def __init__(self, ip):
        self.ip, self.port, self.server, self.tasks = ip, 0, None, set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self._connection, self.ip, port or self.port or free_port(self.ip),
            limit=1024 * 1024,
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stop listening, and reset every connection."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def _connection(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, EOFError, TimeoutError):
            pass
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self.tasks.discard(task)
            writer.close()


class Store(Server):
    """The platform's row store: rows-get, rows-feed and rows-tx."""

    def __init__(self, ip):
        super().__init__(ip)
        self.rows, self.version, self.era, self.oldest = {}, 0, 1, 0
        self.is_away = False
        self.changed = asyncio.Condition()

    async def put(self, table, key, value):
        """Write a row as the operator or an engine does."""
        await self.write([(table, key, json.dumps(value).encode())])

    async def remove(self, table, key):
        await self.write([(table, key, None)])

    async def write(self, changes):
        self.version += 1
        for table, key, value in changes:
            row = {"Table": table, "part": "", "Key": key, "Ver": self.version}
            if value is None:
                row |= {"Value": "", "Removed": True}
            else:
                row["Value"] = base64.b64encode(value).decode()
            self.rows[table, key] = row
        async with self.changed:
            self.changed.notify_all()

    def copy(self):
        """Return a copy of all rows, to come back from later."""
        return {key: dict(row) for key, row in self.rows.items()}, self.version

    def go_away(self):
        """Reset all connections, and new ones, until the store is back."""
        self.is_away = True
        for task in list(self.tasks):
            task.cancel()

    def come_back(self, copy=None):
        """Serve again; from an older copy, in a new era and without history."""
        self.is_away = False
        if copy is not None:
            rows, self.version = copy
            self.rows = {key: dict(row) for key, row in rows.items()}
            self.oldest = self.version
            self.era += 1

    def since(self, table, version):
        rows = [r for (t, _), r in self.rows.items() if t == table and r["Ver"] > version]
        return sorted(rows, key=lambda row: row["Ver"])

    def answer(self, rows, **more):
        now = time.clock_gettime(time.CLOCK_BOOTTIME) * 1000
        body = {"Rows": rows, "HasMore": False, "Ver": self.version, "NowMs": now}
        return json.dumps(body | more).encode()

    async def serve(self, reader, writer):
        if self.is_away:
            writer.transport.abort()
            return
        while True:
            first, headers = await read_head(reader)
            body = await read_body(reader, headers)
            await asyncio.sleep(0.004)
            status, content = await self.call(first, body)
            head = {"Content-Type": "application/json", "Store-Era": self.era}
            writer.write(response(status, head, content))
            await writer.drain()

    async def call(self, first, body):
        path, _, query = first.split(" ")[1].partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        if path == "/v1/rows-get":
            rows = [
                row
                for (table, key), row in sorted(self.rows.items())
                if table == fields["Table"] and not row.get("Removed")
                and key >= fields.get("From", "")
            ]
            return 200, self.answer(rows)
        if path == "/v1/rows-feed":
            table, after = fields["Table"], int(fields["After"])
            if not self.oldest <= after <= self.version:
                return 410, b"{}"
            seconds = int(fields.get("WaitMs", 0)) / 1000
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds), self.changed:
                    await self.changed.wait_for(lambda: self.since(table, after))
            return 200, self.answer(self.since(table, after))
        if path == "/v1/rows-tx":
            call = json.loads(body)
            for row in call["ExpectedRev"]:
                found = self.rows.get((row["Table"], row["Key"]), {})
                known = 0 if found.get("Removed") else found.get("Ver", 0)
                if known != row["Ver"]:
                    return 412, self.answer([found] if found else [])
            await self.write(
                [(r["Table"], r["Key"], base64.b64decode(r["Value"])) for r in call["SetKeys"]]
                + [(r["Table"], r["Key"], None) for r in call["Remove"]]
            )
            return 200, self.answer([])
        return 404, b"{}"


class Engine(Server):
    """An engine of a service; cases override ``handle``.

    ``runs`` has the attempt ids whose requests it began to work on.
    """

    def __init__(self, ip, store, engine_id, service, zone, record, slots=64):
        super().__init__(ip)
        self.store, self.engine_id, self.service = store, engine_id, service
        self.zone, self.record, self.slots = zone, record, slots
        self.runs, self.seen, self.born = [], [], int(time.time() * 1000)
        self.beats = None
        self.sequence = 0

    def entry(self):
        self.sequence += 1
        return {
            "Service": self.service, "Address": self.address, "Zone": self.zone,
            "Version": "v1", "Slots": self.slots, "State": "ready",
            "ColdLeftMs": 0, "Seq": self.sequence, "born": self.born,
        }

    async def register(self):
        """Write the entry, and write it again at each heartbeat."""
        await self.store.put("servers", self.engine_id, self.entry())

        async def beat():
            while True:
                await asyncio.sleep(1.2)
                if not self.store.is_away:
                    await self.store.put("servers", self.engine_id, self.entry())

        self.beats = asyncio.create_task(beat())

    def silence(self):
        """Write no more heartbeats."""
        if self.beats is not None:
            self.beats.cancel()

    async def serve(self, reader, writer):
        while True:
            first, headers = await read_head(reader)
            if first.startswith("GET /healthz"):
                writer.write(response(200, {"X-Teaselpond-Instance-Id": self.engine_id}))
            elif first.startswith("GET /v1/"):
                writer.write(response(404))
            elif headers.get("x-teaselpond-expect-instance") != self.engine_id:
                await read_body(reader, headers)
                writer.write(response(421, {"X-Teaselpond-Instance-Id": self.engine_id}))
            elif await self.handle(first, headers, reader, writer) is False:
                return
            await writer.drain()

    async def handle(self, first, headers, reader, writer):
        """Run a request; return False to close the connection."""
        await read_body(reader, headers)
        self.runs.append(headers["x-teaselpond-attempt-id"])
        writer.write(response(200, self.seal(headers), b"done"))

    def seal(self, headers):
        return {
            "X-Teaselpond-Attempt-Id": headers["x-teaselpond-attempt-id"],
            "X-Teaselpond-Server-Seal": f"seal.{self.engine_id}",
        }


def route(name, kind, service, **more):
    """Return a route of the configuration."""
    return {
        "Name": name, "Host": HOST, "Prefix": f"/{name}/", "Type": kind,
        "TimeoutMs": 4000, "SloMs": 300, "Priority": 1, "Service": service,
        "MaxAttempts": 2, "Public": False, "ItlTargetMs": 600, **more,
    }


def configuration(version=1, **fields):
    """Return a configuration with one route of each kind."""
    service = {"HealthPath": "/healthz", "MaxConns": 360, "Protocol": "h1",
               "Tls": False, "ColdStartS": 0.0, "ColdPerS": 0.0}
    return {
        "Version": version,
        "Routes": [
            route("care", "stream", "assist", TimeoutMs=10000, SloMs=600, Sticky=True,
                  Resumable=True),
            route("deposit", "unsafe", "desk", MaxAttempts=1),
            route("stock", "safe", "desk"),
        ],
        "Services": [
            {"Name": "assist", **service,
             "Engine": {"Slots": 64, "KvCapacity": 455986, "KvBytes": 18432, "Stride": 7}},
            {"Name": "desk", **service, "MaxConns": 96},
        ],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY]}],
        **fields,
    }


class Gateway:
    """One machine with the program of the deploy file."""

    def __init__(self, fleet, number):
        self.fleet, self.ip = fleet, f"{NET}.{100 + number}"
        self.name = f"edge-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.settings = fleet.folder / f"{self.name}.toml"
        self.log = open(fleet.folder / f"{self.name}.log", "ab")
        self.process = None

    def write_settings(self, bootstrap):
        ports = self.fleet.ports

        def at(name, ip=self.ip):
            return f"{ip}:{ports[name]}"

        seeds = [at("control", f"{NET}.{100 + n}") for n in range(min(3, self.fleet.count))]
        memory = self.fleet.memory_mb
        self.settings.write_text(f"""\
NodeName = "{self.name}"
Role = "gateway"
MachineClass = "edge"
Serves = ["edge","control","registry"]
Ip = "{self.ip}"
Zone = "{self.zone}"
Region = "oman-north"
InternalPorts = [{ports["internal"]},{ports["internal"] + 15}]
Seeds = {json.dumps(seeds)}
Bootstrap = {"true" if bootstrap else "false"}
Discovery = "platform"
Entry = "registry"
HeartbeatMs = 1200
[Listen]
Frontend = "{at("frontend")}"
Ready = "{at("ready")}"
ControlAddr = "{at("control")}"
DirectoryAddr = "{at("directory")}"
[Limits]
CpuQuota = 0.537
Cores = 2
MemoryMb = {memory}
MaxFds = 4100
LinkMbps = 1000.0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
OuterMs = 5000
StrictRevoke = true
RevokeMs = 5000
RetryRatio = 0.2
RetryWindowS = 10
RetrySlack = 52
ColdOverage = 1.5
ColdSlack = 5
EvacuateMs = 5000
RecoveryS = 12
EventLagMs = 120
CapFactor = 2
ttl_max_s = 5
[Platform]
Address = "{self.fleet.store.address}"
form = "table"
""")

    async def start(self, bootstrap=False):
        self.write_settings(bootstrap)
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["TEASELPOND_CONFIG"] = str(self.settings)
        environment["PYTHONPATH"] = str(REPO / "target" / "deps")
        self.process = await asyncio.create_subprocess_exec(
            "python3", "-S", "deploy/gateway.py", cwd=REPO, env=environment,
            stdin=asyncio.subprocess.DEVNULL, stdout=self.log, stderr=self.log,
        )

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def memory_mb(self, field="VmRSS"):
        """Return a figure of the process's memory, 0 if it has ended."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith(field + ":"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def is_ready(self):
        try:
            status, _, _ = await request(
                self.ip, self.fleet.ports["ready"], "GET", "/v1/readyz", {}, seconds=1.0
            )
        except (OSError, TimeoutError, EOFError):
            return False
        return status == 200


class Fleet:
    """A store and some gateways."""

    def __init__(self, record, count=3, memory_mb=300):
        self.record, self.count, self.memory_mb = record, count, memory_mb
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self.temporary.name)
        self.store = Store(f"{NET}.1")
        self.ports, self.gateways, self.engines = {}, [], []

    async def __aenter__(self):
        await self.store.start()
        await self.store.put("op", "config", configuration())
        first = f"{NET}.100"
        for name in ("frontend", "ready", "control", "directory", "internal"):
            port = free_port(first)
            while port in self.ports.values() or port > 60000:
                port = free_port(first)
            self.ports[name] = port
        self.gateways = [Gateway(self, number) for number in range(self.count)]
        return self

    async def __aexit__(self, *error):
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
            await gateway.kill()
        for engine in self.engines:
            engine.silence()
            await engine.stop()
        await self.store.stop()
        if os.environ.get("KEEP_LOGS"):
            for gateway in self.gateways:
                text = (self.folder / f"{gateway.name}.log").read_bytes()
                Path(os.environ["KEEP_LOGS"], f"{gateway.name}.log").write_bytes(text)
        self.temporary.cleanup()

    async def add_engine(self, make, engine_id, service, **options):
        zone = ZONES[len(self.engines) % len(ZONES)]
        engine = make(f"{NET}.{10 + len(self.engines)}", self.store, engine_id, service,
                      zone, self.record, **options)
        await engine.start()
        await engine.register()
        self.engines.append(engine)
        return engine

    async def start_gateways(self, seconds=20.0):
        for gateway in self.gateways:
            await gateway.start(bootstrap=True)
        await self.wait_ready(seconds)

    async def wait_ready(self, seconds=20.0):
        """Wait until all gateways are ready; exit with 2 if they never are."""
        until = time.monotonic() + seconds
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > until:
                    self.record(f"{gateway.name} was not ready after {seconds} s")
                    raise CannotRun
                await asyncio.sleep(0.1)


class CannotRun(Exception):
    """The case could not run."""


async def request(ip, port, method, path, headers, body=b"", seconds=10.0, key=KEY):
    """Send a request on a new connection; return status, headers and body."""
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(ip, port, limit=16 * 1024 * 1024)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if key:
                lines.append(f"Authorization: Bearer {key}")
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            first, answer = await read_head(reader)
            return int(first.split()[1]), answer, await read_body(reader, answer)
        finally:
            writer.close()


def new_id():
    return f"{random.getrandbits(64):016x}"


def run(main, folder):
    """Run a case's coroutine, and exit with its result."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {trouble}")
    try:
        result = asyncio.run(asyncio.wait_for(main(record, trouble), 115.0))
    except (CannotRun, TimeoutError, OSError) as error:
        record(f"could not run: {error!r}")
        result = 2
    record({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "not run"}[result])
    sys.exit(result)
