"""Test the tracing of requests through the gateways' logs."""

import contextlib
import io
import json
import tempfile
from pathlib import Path

import testtools

from teaselpond_ctl.__main__ import run
from teaselpond_ctl.commands.trace import read_lines, trace
from teaselpond_ctl.exceptions import CommandRefused


def make_line(at: float, event: str, host: str = "edge-1", **fields) -> dict:
    """Return a gateway's log line."""
    return {"time": at, "at": at, "host": host, "event": event, **fields}


PLACED = make_line(100.0, "placed", id="r1", engine="e1")
REFUSED = make_line(100.4, "refused", id="r1", status=502)
LINES = [
    make_line(80.0, "store-lost", table="operator"),
    make_line(95.0, "store-regained", table="operator"),
    make_line(96.0, "engine-listed", engine="e1"),
    make_line(97.0, "engine-listed", engine="e2"),
    make_line(98.0, "state", host="edge-2", state="unconfirmed"),
    make_line(99.0, "placed", id="r0", engine="e1"),
    PLACED,
    REFUSED,
    make_line(101.0, "state", state="leaving"),
]


class TraceTests(testtools.TestCase):
    """Test which log lines explain a request."""

    def test_request_lines_and_state_changes(self) -> None:
        """Include state changes of the request's gateway and engine only."""
        rows = trace(reversed(LINES), "r1")
        self.assertEqual([LINES[1], LINES[2], PLACED, REFUSED], rows)

    def test_unknown_request(self) -> None:
        self.assertEqual([], trace(LINES, "r9"))

    def test_unreadable_lines(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".log") as file:
            file.write("half a li\n[]\n{}\n" + json.dumps(PLACED) + "\n")
            file.flush()
            self.assertEqual(([PLACED], 3), read_lines([file.name]))

    def test_missing_file(self) -> None:
        with self.assertRaises(CommandRefused):
            read_lines(["/nowhere/edge.log"])


class CommandTests(testtools.TestCase):
    """Test the trace command on log files."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "lines"
        self.file.write_text("\n".join(map(json.dumps, LINES)))

    def run_command(self, *arguments: str) -> tuple[int, str, str]:
        """Run a trace and return its exit code, output and errors."""
        output, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            code = run(["trace", *arguments])
        return code, output.getvalue(), errors.getvalue()

    def test_table(self) -> None:
        code, output, _ = self.run_command("r1", str(self.file))
        self.assertEqual(0, code)
        self.assertIn("status=502", output)
        self.assertEqual(5, len(output.splitlines()))

    def test_json(self) -> None:
        code, output, _ = self.run_command("r1", str(self.file), "--json")
        self.assertEqual((0, 4), (code, len(json.loads(output))))

    def test_unknown_request(self) -> None:
        code, _, errors = self.run_command("r9", str(self.file))
        self.assertNotEqual(0, code)
        self.assertIn("no log line mentions request r9", errors)

    def test_no_files(self) -> None:
        code, _, errors = self.run_command("r1")
        self.assertNotEqual(0, code)
        self.assertIn("files", errors)
