"""Small stand-ins of the platform's store, of engines and of clients.

They use the standard library only, and listen on loopback addresses.
"""

import asyncio
import base64
import json
import os
import socket
import struct
import time
import urllib.parse

HOST = "site.example"
ID = "X-Teaselpond-Attempt-Id"
SEAL = "X-Teaselpond-Server-Seal"
NOT_RUN = "X-Teaselpond-Not-Executed"


def loopback(number: int) -> str:
    """Return a loopback address that is unique to this process."""
    high, low = divmod(os.getpid(), 250)
    return f"127.{high % 200 + 20}.{low + 1}.{number}"


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports that are free for TCP and UDP on an address."""
    found: list[int] = []
    held = []
    while len(found) < count:
        tcp = socket.socket()
        tcp.bind((ip, 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held += [tcp, udp]
        try:
            udp.bind((ip, port))
        except OSError:
            continue
        found.append(port)
    for each in held:
        each.close()
    return found


class Record:
    """Write what was sent, answered and run, one line an event."""

    def __init__(self, path: str) -> None:
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def __call__(self, *words: object) -> None:
        self.file.write(
            f"{time.monotonic() - self.started:8.3f} {' '.join(map(str, words))}\n"
        )

    def say(self, *words: object) -> None:
        """Write a line to the record and to the output."""
        self(*words)
        print(*words, flush=True)

    def close(self) -> None:
        """Close the file."""
        self.file.close()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], *, until_end: bool = False
) -> bytes:
    """Return a whole body; raise IncompleteReadError if it breaks off."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_end else b""


def message(first: str, headers: dict[str, object], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """Keep rows in tables, and serve rows-get, rows-feed and rows-tx."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], dict] = {}
        self.version = 0
        self.era = 1
        self.oldest = 0
        self.changed = asyncio.Condition()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self, ip: str) -> None:
        """Listen on an address."""
        self.server = await asyncio.start_server(self._serve, ip, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    async def put(self, table: str, key: str, value: object) -> float:
        """Write a row with a JSON value; return when it is acknowledged."""
        self._set(table, key, base64.b64encode(json.dumps(value).encode()).decode())
        await self._notify()
        return time.monotonic()

    async def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._set(table, key, None)
        await self._notify()

    def _set(self, table: str, key: str, value: str | None) -> None:
        row = {"Table": table, "part": "", "Key": key, "Ver": self.version + 1}
        if value is None:
            row["Removed"] = True
        else:
            row["Value"] = value
        self.rows[table, key] = row

    async def _notify(self) -> None:
        self.version += 1
        async with self.changed:
            self.changed.notify_all()

    async def _serve(self, reader, writer) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                status, answer = await self._call(method, target, body)
                answer |= {"Ver": self.version, "NowMs": time.monotonic() * 1000}
                writer.write(
                    message(
                        f"HTTP/1.1 {status} OK",
                        {"Content-Type": "application/json", "Store-Era": self.era},
                        json.dumps(answer).encode(),
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _call(self, method: str, target: str, body: bytes) -> tuple[int, dict]:
        path, _, text = target.partition("?")
        query = {k: v[0] for k, v in urllib.parse.parse_qs(text).items()}
        if path == "/v1/rows-get":
            keys = sorted(
                key
                for (table, key), row in self.rows.items()
                if table == query["Table"]
                and "Value" in row
                and key >= query.get("From", "")
            )
            return 200, {
                "Rows": [self.rows[query["Table"], key] for key in keys[:500]],
                "HasMore": len(keys) > 500,
            }
        if path == "/v1/rows-feed":
            return await self._feed(query)
        if path == "/v1/rows-tx":
            call = json.loads(body)
            differing = [r for r in call.get("ExpectedRev", []) if self._differs(r)]
            if differing:
                found = [self.rows.get((r["Table"], r["Key"])) for r in differing]
                return 412, {"Rows": [row for row in found if row]}
            for row in call.get("SetKeys", []):
                self._set(row["Table"], row["Key"], row["Value"])
            for row in call.get("Remove", []):
                self._set(row["Table"], row["Key"], None)
            await self._notify()
            return 200, {}
        return 404, {}

    def _differs(self, expected: dict) -> bool:
        row = self.rows.get((expected["Table"], expected["Key"]))
        return (row["Ver"] if row and "Value" in row else 0) != expected["Ver"]

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict]:
        after = int(query["After"])
        if not self.oldest <= after <= self.version:
            return 410, {}

        def list_changed() -> list[dict]:
            rows = [
                row
                for (table, _), row in self.rows.items()
                if table == query["Table"] and row["Ver"] > after
            ]
            return sorted(rows, key=lambda row: row["Ver"])

        try:
            async with asyncio.timeout(int(query.get("WaitMs", 0)) / 1000):
                async with self.changed:
                    await self.changed.wait_for(list_changed)
        except TimeoutError:
            pass
        return 200, {"Rows": list_changed()}


class Call:
    """Hold a request as an engine received it, and how to answer it."""

    def __init__(self, engine, first, headers, body, reader, writer) -> None:
        self.engine = engine
        self.method, self.target, _ = first.split(" ")
        self.headers = headers
        self.body = body
        self.reader, self.writer = reader, writer
        self.id = headers.get(ID.lower(), "")

    def sealed(self) -> dict[str, object]:
        """Return the headers of each answer to a client's request."""
        return {ID: self.id, SEAL: f"seal-{self.engine.id}"}

    async def answer(self, body: bytes, status: int = 200, **headers: object) -> None:
        """Send an answer with a length."""
        self.writer.write(
            message(f"HTTP/1.1 {status} OK", self.sealed() | headers, body)
        )
        await self.writer.drain()

    async def begin_stream(self) -> None:
        """Send the head of an event stream in chunks."""
        headers = self.sealed() | {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in headers.items())]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        await self.writer.drain()

    async def send_chunk(self, data: bytes) -> None:
        """Send a chunk; an empty one ends the stream."""
        self.writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await self.writer.drain()

    async def stream(self, count: int, gap: float) -> None:
        """Send a whole stream of events."""
        await self.begin_stream()
        first = int(self.headers.get("last-event-id", "0")) + 1
        for number in range(first, count + 1):
            await self.send_chunk(b"id: %d\ndata: event %d\n\n" % (number, number))
            await asyncio.sleep(gap)
        await self.send_chunk(b"")


class Engine:
    """Serve the requests of one service on one address.

    ``handle`` answers one call. A crash ends all connections with a reset; the
    engine is back after some seconds as a new process.
    """

    def __init__(self, number: int, service: str, zone: str, handle) -> None:
        self.number, self.service, self.zone, self.handle = (
            number,
            service,
            zone,
            handle,
        )
        self.incarnation = 0
        self.server: asyncio.Server | None = None
        self.writers: set = set()
        self.tasks: set = set()
        self.port = 0
        self.ip = ""

    @property
    def id(self) -> str:
        """Return the id of the running process."""
        return f"i-{self.service}-{self.number}-{self.incarnation}"

    async def start(self, ip: str) -> None:
        """Start a new process on the address of before."""
        self.ip = ip
        self.incarnation += 1
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(
            self._serve, ip, self.port, backlog=512, limit=1 << 20
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, **fields: object) -> dict:
        """Return the entry for the store."""
        return {
            "Service": self.service,
            "Address": f"{self.ip}:{self.port}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 64,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": 1,
            "born": self.born,
            **fields,
        }

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        self.server.close()
        current = asyncio.current_task()
        for writer in list(self.writers):
            connection = writer.get_extra_info("socket")
            if connection is not None and connection.fileno() >= 0:
                linger = struct.pack("ii", 1, 0)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        for task in list(self.tasks):
            if task is not current:
                task.cancel()

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self.writers.add(writer)
        self.tasks.add(task)
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = await read_body(reader, headers)
                call = Call(self, first, headers, body, reader, writer)
                if call.target == "/healthz":
                    await call.answer(b"", **{"X-Teaselpond-Instance-Id": self.id})
                elif call.target.startswith("/v1/kv-list"):
                    held = json.dumps({"epoch": 1, "Next": 1, "held": []})
                    await call.answer(held.encode())
                elif (
                    headers.get("x-teaselpond-expect-instance", self.id) != self.id
                ):
                    await call.answer(b"", 421)
                else:
                    await self.handle(call)
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()


class Answer:
    """Hold a client's whole answer; ``status`` is 0 if there is none."""

    def __init__(self, status=0, headers=None, body=b"", error="", seconds=0.0):
        self.status, self.headers, self.body = status, headers or {}, body
        self.error, self.seconds = error, seconds

    def __str__(self) -> str:
        return f"{self.status or self.error} after {self.seconds:.3f} s"


async def ask(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, object],
    body: bytes = b"",
    *,
    seconds: float,
    own_ip: str | None = None,
) -> Answer:
    """Send one request on a new connection, and return its answer."""
    started = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(
                *address, local_addr=(own_ip, 0) if own_ip else None
            )
            lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("closed")
            first, got = head
            content = await read_body(reader, got, until_end=True)
            return Answer(
                int(first.split(" ")[1]),
                got,
                content,
                seconds=time.monotonic() - started,
            )
    except TimeoutError:
        return Answer(error="no answer", seconds=time.monotonic() - started)
    except (OSError, asyncio.IncompleteReadError) as error:
        return Answer(
            error=f"broken off ({type(error).__name__})",
            seconds=time.monotonic() - started,
        )
    finally:
        if writer is not None:
            writer.close()
