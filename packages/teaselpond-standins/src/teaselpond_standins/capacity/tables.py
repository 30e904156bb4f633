"""Render the tables of the capacity page from the fits."""

from . import design, message_sizes
from .estimates import Estimates
from .rendering import megabytes, percent, render_table
from .work_tables import bursts, relay_design, relay_points, stores, stores_design

BUCKET_SECONDS = 1.0
ADVANCES_PER_SECOND = 20


def runs(estimates: Estimates) -> str:
    """List the runs that gave the points."""
    return render_table(
        ("points", "command", "measured", "load before", "cores"),
        (
            (
                name,
                f"`{run.command}`",
                run.measured_at,
                run.load_average_before,
                run.cores,
            )
            for name, run in sorted(estimates.points.runs.items())
        ),
    )


def control_points(estimates: Estimates) -> str:
    """List the measured points of control traffic."""
    return render_table(
        (
            "daemons",
            "loads told",
            "remote grants/s",
            "lasting links",
            "load facts heard/s",
            "B/s",
            "B/s with packets",
            "core",
            "core, worst daemon",
        ),
        (
            (
                point.daemons,
                "yes" if point.tells_loads else "no",
                f"{point.grants_per_second:.1f}",
                f"{point.lasting_links:.2f}",
                f"{point.loads_learned_per_second:.2f}",
                f"{point.bytes_per_second:,.0f}",
                f"{point.packet_bytes_per_second:,.0f}",
                percent(point.processor_share),
                percent(point.processor_share_max),
            )
            for point in estimates.points.control
        ),
    )


def control_fits(estimates: Estimates) -> str:
    """List the fitted slopes of control traffic and processor time."""
    names = ("a lasting link", "a load fact heard", "a remote grant")
    rows = []
    for title, each in (
        ("B/s", estimates.control_bytes),
        ("B/s with packets", estimates.control_packet_bytes),
    ):
        slopes = ", ".join(
            f"{slope:,.1f} {name}"
            for slope, name in zip(each.slopes, names, strict=True)
        )
        rows.append(
            (title, f"{each.constant:,.1f}", slopes, f"{each.spread:,.0f}", each.points)
        )
    core = estimates.control_processor
    rows.append(
        (
            "core",
            percent(core.constant),
            f"{1e6 * core.slopes[0]:.0f} us a frame sent or received",
            percent(core.spread),
            core.points,
        )
    )
    held = estimates.resident_bytes
    rows.append(
        (
            "resident memory",
            megabytes(held.constant),
            f"{held.slopes[0] / 1000:.0f} kB a link",
            megabytes(held.spread),
            held.points,
        )
    )
    return render_table(
        ("value", "constant", "slopes", "largest residual", "points"), rows
    )


def control_design(estimates: Estimates) -> str:
    """Work out a daemon's control traffic at the design size."""
    rows = []
    for share in design.REMOTE_SHARES:
        size = estimates.control_bytes_at(share, packets=False)
        packets = estimates.control_bytes_at(share, packets=True)
        probes = message_sizes.probe_bytes() * 2 * share * design.requests_a_daemon()
        total = packets + probes
        core = estimates.processor_at(share)
        fits = (
            total < design.CONTROL_BYTES_PER_SECOND and core < design.CONTROL_CORE_SHARE
        )
        rows.append(
            (
                f"{100 * share:.0f}%",
                f"{share * design.requests_a_daemon():.1f}",
                f"{size:,.0f}",
                f"{total:,.0f}",
                percent(core),
                "yes" if fits else "**no**",
            )
        )
    return render_table(
        (
            "grants that are remote",
            "remote grants/s",
            "B/s",
            "B/s with packets and probes",
            "core",
            "within 12 KB/s and 1.5%",
        ),
        rows,
    )


def structures(estimates: Estimates) -> str:
    """List the structures' slopes and their values at the design size."""
    rows = []
    for name, size, unit, operation in (
        ("known hosts", design.ENGINES, "upstream host", "a changed host"),
        ("known daemons", design.DAEMONS, "daemon", "a changed daemon"),
        ("known loads", design.DAEMONS, "owner", "an owner's sums"),
        ("digest pair", design.HOSTS, "fact", "a comparison"),
        ("configuration", design.WORKSPACES, "workspace", "a changed workspace"),
        ("locating", design.DAEMONS, "daemon", "an answer"),
        ("owned engines", design.engines_a_daemon(), "own engine", "grant and release"),
        ("advancing", design.engines_a_daemon(), "own engine", "queues advanced"),
        ("known engines", design.ENGINES, "engine", "home and owner found"),
        ("change of daemons", design.ENGINES, "engine", "owners after a loss"),
        ("cached prefixes", design.PREFIXES_AN_ENGINE, "prefix", "a cache event"),
        ("displaced chats", design.DISPLACED_CHATS, "chat", "a displaced chat"),
    ):
        memory, time = estimates.memory(name), estimates.operation(name)
        rows.append(
            (
                name,
                f"{memory.slopes[0]:,.0f} B a {unit}",
                f"{memory.spread:,.0f} B",
                f"{size:,.0f}",
                megabytes(memory.at(size)),
                f"{operation}: {1e6 * time.at(size):,.0f} us",
                f"{1e6 * time.spread:,.0f} us",
            )
        )
    return render_table(
        (
            "structure",
            "memory slope",
            "largest residual",
            "size",
            "memory there",
            "time there",
            "largest residual",
        ),
        rows,
    )


def memory_sum(estimates: Estimates) -> str:
    """Add the control state of one daemon at the design size."""
    engines = design.engines_a_daemon()
    rows = [
        (
            "hosts as facts and members",
            estimates.memory("known hosts").at(design.HOSTS),
        ),
        ("daemons", estimates.memory("known daemons").at(design.DAEMONS)),
        ("loads of other owners", estimates.memory("known loads").at(design.DAEMONS)),
        ("configuration", estimates.memory("configuration").at(design.WORKSPACES)),
        (
            "engines in the directory",
            estimates.memory("known engines").at(design.ENGINES),
        ),
        ("own engines", estimates.memory("owned engines").at(engines)),
        (
            "cached prefixes of own engines",
            engines * estimates.memory("cached prefixes").at(design.PREFIXES_AN_ENGINE),
        ),
        (
            "displaced chats",
            estimates.memory("displaced chats").at(design.DISPLACED_CHATS),
        ),
        (
            "links, one to every other daemon",
            estimates.resident_bytes.slopes[0] * (design.DAEMONS - 1),
        ),
    ]
    total = sum(size for _, size in rows)
    rows.append(("**sum**", total))
    rows.append(("target", design.CONTROL_MEMORY_BYTES))
    base = estimates.resident_bytes.constant
    rows.append(("beside it: interpreter and libraries, no state", base))
    return render_table(("state", "memory"), ((n, megabytes(size)) for n, size in rows))


def roles(estimates: Estimates) -> str:
    """Give each role's state, messages, processor time and memory."""
    requests = design.requests_a_daemon()
    engines = design.engines_a_daemon()
    a_chat, a_token = estimates.relay.slopes
    tokens = design.TOKENS_PER_SECOND / design.DAEMONS
    grant = estimates.operation("owned engines").at(engines)
    advance = estimates.operation("advancing").at(engines)
    home = estimates.operation("known engines").at(design.ENGINES)
    answer = estimates.operation("locating").at(design.DAEMONS)
    apply = estimates.operation("configuration").at(design.WORKSPACES)
    changes = design.CHANGES_A_DAY / design.SECONDS_A_DAY
    lease = estimates.store_calls("idle second", "table_writes").slopes[0]
    order = estimates.store_calls("order", "processor_seconds").slopes[0]
    order_writes = estimates.store_calls("order", "table_writes").slopes[0]
    plan_writes = estimates.store_calls("plan", "table_writes").slopes[0]
    prefix = estimates.memory("cached prefixes").at(design.PREFIXES_AN_ENGINE)
    owner_memory = estimates.memory("owned engines").at(engines)
    known = estimates.memory("known engines").at(design.ENGINES)
    links = estimates.resident_bytes.slopes[0] * (design.DAEMONS - 1)
    packets = estimates.control_bytes_at(0.0, packets=True)
    event = estimates.operation("cached prefixes").at(design.PREFIXES_AN_ENGINE)
    rows = (
        (
            "entry",
            "running streams",
            f"{requests:.0f} chats/s, {tokens:,.0f} tokens/s",
            f"{a_chat * requests + a_token * tokens:.1f} cores",
            "not measured",
        ),
        (
            "owner",
            f"{engines:.0f} own engines, {design.ENGINES:,} in the directory",
            "grants and releases, local unless the caller came to another daemon",
            percent(grant * requests + advance * ADVANCES_PER_SECOND + home * requests),
            megabytes(owner_memory + known),
        ),
        (
            "locate",
            "the membership",
            "one answer a caller and time to live",
            f"{1e6 * answer:,.0f} us an answer",
            "none of its own",
        ),
        (
            "links",
            f"{design.lasting_links_a_daemon():.1f} lasting links, others on demand",
            f"{packets:,.0f} B/s with packets, no remote grant",
            percent(estimates.processor_at(0.0)),
            f"{megabytes(links)} with a link to every daemon",
        ),
        (
            "configuration",
            f"{design.WORKSPACES:,} workspaces",
            f"{changes:.2f} deltas/s",
            percent(apply * changes),
            megabytes(estimates.memory("configuration").at(design.WORKSPACES)),
        ),
        (
            "leases",
            "one lease",
            f"{lease:.2f} table writes/s, {lease * design.DAEMONS:,.0f}/s in the fleet",
            "within the idle daemon's",
            "not measured",
        ),
        (
            "ledger of non-idempotent work",
            "records in the table service",
            f"{order_writes:.1f} table writes an order",
            f"{1e3 * order:.1f} ms an order",
            "not measured",
        ),
        (
            "fitting plans",
            "records and inputs in the platform's stores",
            f"{plan_writes:.1f} table writes, 2 object writes a plan",
            "see the stores' table",
            "every daemon holds each unfinished plan's record; not measured",
        ),
        (
            "placement memory",
            f"{design.PREFIXES_AN_ENGINE:,} prefixes an engine, "
            f"{design.DISPLACED_CHATS:,} displaced chats",
            "cache events of own engines",
            f"{1e6 * event:.0f} us an event",
            megabytes(
                prefix * engines
                + estimates.memory("displaced chats").at(design.DISPLACED_CHATS)
            ),
        ),
        ("orders to engines", "one order an engine", "not measured", "-", "-"),
        (
            "operators' command",
            "none that stays",
            "one transaction a change; `status` asks every daemon",
            "not measured",
            "not measured",
        ),
    )
    return render_table(("role", "state", "messages", "processor time", "memory"), rows)


TABLES_BY_NAME = {
    "runs": runs,
    "roles": roles,
    "control-points": control_points,
    "control-fits": control_fits,
    "control-design": control_design,
    "structures": structures,
    "memory-sum": memory_sum,
    "stores": stores,
    "stores-design": stores_design,
    "relay-points": relay_points,
    "relay-design": relay_design,
    "bursts": bursts,
}
