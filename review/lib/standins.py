"""Small stand-ins of the platform's store, of engines and of clients.

Only the standard library is used. Each speaks as much of the published
protocol as the cases need, and behaves like a sound one unless a case says
otherwise.
"""

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "review.example"
KEY = "key-one"
TENANT = "tenant-one"
ZONES = ("zone-a", "zone-b", "zone-c")
REGION = "region"
# The figures of the site hairline-shared.
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "OuterMs": 5000,
    "StrictRevoke": True,
    "RevokeMs": 5000,
    "RetryRatio": 0.2,
    "RetryWindowS": 10,
    "RetrySlack": 52,
    "ColdOverage": 1.5,
    "ColdSlack": 5,
    "EvacuateMs": 5000,
    "RecoveryS": 12,
    "EventLagMs": 120,
    "ReuseWindowS": 10,
    "CapFactor": 2,
    "ttl_max_s": 5,
}


def has_trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def loopback_ip(number):
    high, low = divmod(os.getpid(), 256)
    return f"127.{high % 200 + 20}.{low}.{number + 1}"


def free_ports(ips, names):
    """Return a port by name that is free on all of some addresses."""
    kinds = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
    ports = {}
    while len(ports) < len(names):
        with socket.socket() as probe:
            probe.bind((ips[0], 0))
            port = probe.getsockname()[1]
        if port not in ports.values() and all(
            _is_free(ip, port, kind) for ip in ips for kind in kinds
        ):
            ports[names[len(ports)]] = port
    return ports


def _is_free(ip, port, kind):
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


class Record:
    """Write what happened to record.txt, with seconds since the start."""

    def __init__(self, folder):
        self.started_at = time.monotonic()
        self.file = (Path(folder) / "record.txt").open("w")

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, *words):
        line = f"{self.now():9.3f}  " + " ".join(str(word) for word in words)
        print(line, file=self.file, flush=True)


async def read_head(reader):
    """Return the start line and the headers (lower case) of a message."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return a body, by its length or its chunks; empty without either."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            line = await reader.readline()
            if not line.endswith(b"\r\n"):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line.split(b";")[0], 16)
            if size == 0:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def encode_answer(status, headers, body=b""):
    head = [f"HTTP/1.1 {status} X"]
    head += [f"{name}: {value}" for name, value in headers.items()]
    head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Accept connections on a loopback address, and track them."""

    def __init__(self, ip="127.0.0.1", port=0):
        self.ip, self.port = ip, port
        self.writers = set()
        self._server = None

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self._server = await asyncio.start_server(
            self._accept, self.ip, self.port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def drop_all(self):
        """Reset all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self):
        if self._server is not None:
            self._server.close()
            self._server = None
        self.drop_all()


class Store(Server):
    """Serve the platform's rows.

    ``is_down`` resets every connection. ``refuses`` is a function of the
    caller's IP address and the table which tells whether a read gets 503.
    """

    def __init__(self, record, era=None):
        super().__init__()
        self.record = record
        self.rows = {}
        self.version = 0
        self.oldest = 0
        self.era = era
        self.is_down = False
        self.refuses = lambda table, call: False
        self.delay = lambda table, call: 0.004
        self.calls = []
        self._changed = asyncio.Condition()

    async def put(self, table, key, value):
        await self.transact([(table, key, json.dumps(value).encode())])

    async def remove(self, table, key):
        await self.transact([(table, key, None)])

    async def transact(self, changes):
        self.version += 1
        for table, key, value in changes:
            row = {"Table": table, "part": "", "Key": key, "Ver": self.version}
            if value is None:
                row |= {"Value": None, "Removed": True}
            else:
                row["Value"] = base64.b64encode(value).decode()
            self.rows[table, key] = row
        async with self._changed:
            self._changed.notify_all()

    def copy(self):
        return {key: dict(row) for key, row in self.rows.items()}, self.version

    async def restore(self, copied):
        """Come back from a copy: what was written since is gone."""
        rows, version = copied
        self.rows = {key: dict(row) for key, row in rows.items()}
        self.version = self.oldest = version
        self.era = (self.era or 0) + 1

    async def serve(self, reader, writer):
        while True:
            line, headers = await read_head(reader)
            body = await read_body(reader, headers)
            if self.is_down:
                writer.transport.abort()
                return
            method, target, _ = line.split(" ")
            parts = urlsplit(target)
            query = {k: v[0] for k, v in parse_qs(parts.query).items()}
            table, call = query.get("Table", ""), parts.path
            status, answer = await self._answer(table, call, query, body)
            await asyncio.sleep(self.delay(table, call))
            if self.is_down:
                writer.transport.abort()
                return
            answer |= {"Ver": self.version, "NowMs": round(time.monotonic() * 1000)}
            extra = {"Content-Type": "application/json"}
            if self.era is not None:
                extra["Store-Era"] = self.era
            writer.write(encode_answer(status, extra, json.dumps(answer).encode()))
            await writer.drain()

    async def _answer(self, table, call, query, body):
        self.calls.append((table, call))
        if self.refuses(table, call):
            return 503, {}
        if call == "/v1/rows-get":
            start, limit = query.get("From", ""), int(query.get("Limit", 500))
            rows = sorted(
                (
                    row
                    for (name, key), row in self.rows.items()
                    if name == table and key >= start and row["Value"] is not None
                ),
                key=lambda row: row["Key"],
            )
            return 200, {"Rows": rows[:limit], "HasMore": len(rows) > limit}
        if call == "/v1/rows-feed":
            after = int(query["After"])
            if not self.oldest <= after <= self.version:
                return 410, {}
            wait = int(query.get("WaitMs", 0)) / 1000
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait), self._changed:
                    await self._changed.wait_for(
                        lambda: self.is_down or self._after(table, after)
                    )
            return 200, {"Rows": self._after(table, after)}
        if call == "/v1/rows-tx":
            raw = json.loads(body)
            changes = [
                (row["Table"], row["Key"], base64.b64decode(row["Value"]))
                for row in raw["SetKeys"]
            ]
            changes += [(row["Table"], row["Key"], None) for row in raw["Remove"]]
            await self.transact(changes)
            return 200, {}
        return 404, {}

    def _after(self, table, version):
        rows = [
            row
            for (name, _), row in self.rows.items()
            if name == table and row["Ver"] > version
        ]
        return sorted(rows, key=lambda row: row["Ver"])


class Engine(Server):
    """Serve one engine, which lists itself in the store.

    ``arrivals`` has the time, the id and the target of each request that
    reached it, ``runs`` the ids of those that it ran to the end.
    """

    def __init__(self, record, store, engine_id, service, zone, work_s=0.03):
        super().__init__()
        self.record, self.store = record, store
        self.engine_id, self.service, self.zone = engine_id, service, zone
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.is_listed = False
        self.is_leaving = False
        self.arrivals = []
        self.runs = []
        self._beat = None

    def entry(self):
        self.seq += 1
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 64,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": self.seq,
            "born": self.born,
        }

    async def list_itself(self, heartbeat_s=1.2):
        """Write the entry now, and again with each heartbeat."""
        self.is_listed = True

        async def beat():
            while self.is_listed:
                if not self.store.is_down:
                    await self.store.put("servers", self.engine_id, self.entry())
                await asyncio.sleep(heartbeat_s)

        self._beat = asyncio.create_task(beat())
        await asyncio.sleep(0)

    async def leave(self):
        """Leave without a word in the entry: it is removed."""
        self.is_listed = False
        self._beat.cancel()
        await self.store.remove("servers", self.engine_id)
        self.is_leaving = True

    def headers(self, request_id):
        headers = {
            "X-Teaselpond-Attempt-Id": request_id,
            "X-Teaselpond-Server-Seal": f"seal-{self.engine_id}",
        }
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        return headers

    async def serve(self, reader, writer):
        while True:
            line, headers = await read_head(reader)
            body = await read_body(reader, headers)
            _, target, _ = line.split(" ")
            if target.startswith("/v1/"):
                answer = b'{"epoch":1,"Next":1,"held":[]}'
                writer.write(encode_answer(200, {}, answer))
            elif target == "/healthz":
                status = 503 if self.is_leaving else 200
                known = {"X-Teaselpond-Instance-Id": self.engine_id}
                writer.write(encode_answer(status, known))
            else:
                await self.answer(writer, target, headers, body)
            await writer.drain()

    async def answer(self, writer, target, headers, body):
        request_id = headers.get("x-teaselpond-attempt-id", "")
        expected = headers.get("x-teaselpond-expect-instance", self.engine_id)
        self.arrivals.append((self.record.now(), request_id, target))
        self.record.write("engine", self.engine_id, "got", request_id, target)
        if expected != self.engine_id:
            writer.write(encode_answer(421, {}))
            return
        await self.run(writer, target, request_id, headers)

    async def run(self, writer, target, request_id, headers):
        await asyncio.sleep(self.work_s)
        self.runs.append(request_id)
        self.record.write("engine", self.engine_id, "ran", request_id)
        body = f"{request_id} by {self.engine_id}".encode()
        writer.write(encode_answer(200, self.headers(request_id), body))


class Gateway:
    """Run one gateway with the command of the deploy file."""

    def __init__(self, folder, number, ports, store, zone, memory_mb=300):
        self.name = f"edge-{number}"
        self.ip = loopback_ip(number)
        self.ports, self.store, self.zone = ports, store, zone
        self.memory_mb = memory_mb
        self.settings = Path(folder) / f"{self.name}.toml"
        self.log = Path(folder) / f"{self.name}.log"
        self.process = None

    def address(self, name, ip=None):
        return f"{ip or self.ip}:{self.ports[name]}"

    def write_settings(self, bootstrap, seeds):
        listen = {
            "Frontend": self.address("entry"),
            "Ready": self.address("ready"),
            "ControlAddr": self.address("peers"),
            "DirectoryAddr": self.address("directory"),
        }
        seed_list = [self.address("peers", ip) for ip in seeds]
        lines = [
            f'NodeName = "{self.name}"',
            'Role = "gateway"',
            'MachineClass = "edge"',
            'Serves = ["edge","control","registry"]',
            f'Ip = "{self.ip}"',
            f'Zone = "{self.zone}"',
            f'Region = "{REGION}"',
            f"InternalPorts = [{self.ports['datagrams']},{self.ports['datagrams']}]",
            f"Seeds = {json.dumps(seed_list)}",
            f"Bootstrap = {json.dumps(bootstrap)}",
            "HeartbeatMs = 1200",
            "[Zones]",
            *(f'{zone} = "{REGION}"' for zone in ZONES),
            "[Listen]",
            *(f'{name} = "{value}"' for name, value in listen.items()),
            "[Limits]",
            f"MemoryMb = {self.memory_mb}",
            "[Bounds]",
            *(f"{name} = {json.dumps(value)}" for name, value in BOUNDS.items()),
            "[Platform]",
            f'Address = "{self.store.address}"',
            'form = "table"',
        ]
        new = self.settings.with_suffix(".new")
        new.write_text("\n".join(lines) + "\n")
        new.replace(self.settings)

    def start(self):
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["TEASELPOND_CONFIG"] = str(self.settings)
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        self.process = subprocess.Popen(
            ["python3", "-S", "deploy/gateway.py"],
            cwd=REPOSITORY,
            env=environment,
            stdout=self.log.open("ab"),
            stderr=subprocess.STDOUT,
        )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def kill(self):
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await asyncio.to_thread(self.process.wait)
            self.process = None

    async def is_ready(self):
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(1):
                status, _, _ = await fetch(self.address("ready"), "GET", "/v1/readyz")
                return status == 200
        return False

    def memory_kb(self):
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().split("\n"):
                if line.startswith("VmRSS"):
                    return int(line.split()[1])
        return 0


async def fetch(address, method, target, headers=None, body=b""):
    """Send one request on a connection of its own; return the answer."""
    ip, port = address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 20)
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        all_headers = {"Host": address, **(headers or {}), "Content-Length": len(body)}
        lines += [f"{name}: {value}" for name, value in all_headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        line, answer_headers = await read_head(reader)
        answer = await read_body(reader, answer_headers)
        return int(line.split()[1]), answer_headers, answer
    finally:
        writer.close()


class Site:
    """Start a store, engines and gateways, and end them."""

    def __init__(self, folder, gateways=6, era=None):
        self.record = Record(folder)
        self.store = Store(self.record, era)
        self.directory = tempfile.TemporaryDirectory(prefix="review-")
        self.engines = []
        self.gateways = []
        self.count = gateways
        self.config_version = 1
        self._ids = 0

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        await asyncio.gather(*(gateway.kill() for gateway in self.gateways))
        for engine in self.engines:
            await engine.stop()
        await self.store.stop()
        if keep := os.environ.get("KEEP_LOGS"):
            import shutil

            shutil.copytree(self.directory.name, keep, dirs_exist_ok=True)
        self.directory.cleanup()

    def configuration(self, **fields):
        def route(name, prefix, kind, service, **more):
            return {
                "Name": name,
                "Host": HOST,
                "Prefix": prefix,
                "Type": kind,
                "Service": service,
                "TimeoutMs": 4000,
                "SloMs": 400,
                "MaxAttempts": 1,
                "Priority": 1,
                **more,
            }

        base = {
            "Version": self.config_version,
            "Routes": [
                route("orders", "/orders/", "unsafe", "desk"),
                route("looks", "/looks/", "safe", "desk", MaxAttempts=2),
                route(
                    "chats",
                    "/chats/",
                    "stream",
                    "model",
                    TimeoutMs=12000,
                    SloMs=1000,
                    ItlTargetMs=600,
                    Sticky=True,
                ),
            ],
            "Services": [
                {"Name": "desk", "HealthPath": "/healthz", "MaxConns": 96,
                 "ColdStartS": 3, "ColdPerS": 10},
                {"Name": "model", "HealthPath": "/healthz", "MaxConns": 360,
                 "ColdStartS": 3, "ColdPerS": 10,
                 "Engine": {"Slots": 64, "KvCapacity": 455986}},
            ],
            "Tenants": [{"Name": TENANT, "ApiKeys": [KEY]}],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 1048576,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
        }
        return base | fields

    async def write_config(self, **fields):
        self.config_version += 3
        self.written = self.configuration(**fields)
        await self.store.put("op", "config", self.written)

    async def add_engine(self, engine_id, service, zone, make=Engine, **fields):
        engine = make(self.record, self.store, engine_id, service, zone, **fields)
        await engine.start()
        self.engines.append(engine)
        await engine.list_itself()
        return engine

    async def start_gateways(self):
        names = ("entry", "ready", "peers", "directory", "datagrams")
        ports = free_ports([loopback_ip(n) for n in range(self.count)], names)
        seeds = [loopback_ip(number) for number in range(min(3, self.count))]
        self.seeds = seeds
        for number in range(self.count):
            gateway = Gateway(
                self.directory.name, number, ports, self.store, ZONES[number % 3]
            )
            gateway.write_settings(True, seeds)
            self.gateways.append(gateway)
            gateway.start()
        await self.wait_ready()
        for gateway in self.gateways:
            # The system runs now: a restart is no first start.
            gateway.write_settings(False, seeds)

    async def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            ready = await asyncio.gather(*(each.is_ready() for each in self.gateways))
            if all(ready):
                self.record.write("all gateways are ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the gateways did not become ready")

    async def call(self, gateway, target, method="POST", body=b"x", key=KEY,
                   deadline_ms=4000, headers=None):
        """Send a client's request; return its id, the status and the body."""
        self._ids += 1
        request_id = f"id-{self._ids}"
        all_headers = {
            "Host": HOST,
            "X-Teaselpond-Attempt-Id": request_id,
            "X-Teaselpond-Deadline-Ms": deadline_ms,
            "Authorization": f"Bearer {key}",
            **(headers or {}),
        }
        self.record.write("client sends", request_id, target, "to", gateway.name)
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 2):
                status, _, answer = await fetch(
                    gateway.address("entry"), method, target, all_headers, body
                )
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            status, answer = None, repr(error).encode()
        self.record.write("client got", request_id, status, answer[:80])
        return request_id, status, answer


class CannotRun(Exception):
    """Report that a case could not be played."""


def main(case):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, else 2."""
    try:
        is_broken = asyncio.run(case())
    except Exception as error:  # noqa: BLE001
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    print("the rule was broken" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)
