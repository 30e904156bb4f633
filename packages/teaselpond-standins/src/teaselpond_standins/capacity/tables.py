"""Render the tables of the capacity page from the estimates."""

from . import design, message_sizes
from .estimates import Estimates
from .rendering import megabytes, percent, render_table
from .work_tables import bursts, relay_design, relay_points, stores, stores_design

BUCKET_SECONDS = 1.0
ADVANCES_PER_SECOND = 20


def runs(estimates: Estimates) -> str:
    """List the runs that measured the points."""
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
            (
                title,
                f"{each.constant:,.1f}",
                slopes,
                f"{each.max_residual:,.0f}",
                each.point_count,
            )
        )
    core = estimates.control_processor
    rows.append(
        (
            "core",
            percent(core.constant),
            f"{1e6 * core.slopes[0]:.0f} us a frame sent or received",
            percent(core.max_residual),
            core.point_count,
        )
    )
    resident = estimates.resident_bytes
    rows.append(
        (
            "resident memory",
            megabytes(resident.constant),
            f"{resident.slopes[0] / 1000:.0f} kB a link",
            megabytes(resident.max_residual),
            resident.point_count,
        )
    )
    return render_table(
        ("value", "constant", "slopes", "largest residual", "points"), rows
    )


def control_design(estimates: Estimates) -> str:
    """Estimate a daemon's control traffic at the design size."""
    rows = []
    for share in design.REMOTE_SHARES:
        frame_bytes = estimates.control_bytes_at(share, packets=False)
        packet_bytes = estimates.control_bytes_at(share, packets=True)
        probe_bytes = (
            message_sizes.probe_bytes() * 2 * share * design.requests_per_daemon()
        )
        total_bytes = packet_bytes + probe_bytes
        core = estimates.processor_share_at(share)
        is_within_targets = (
            total_bytes < design.CONTROL_BYTES_PER_SECOND
            and core < design.CONTROL_CORE_SHARE
        )
        rows.append(
            (
                f"{100 * share:.0f}%",
                f"{share * design.requests_per_daemon():.1f}",
                f"{frame_bytes:,.0f}",
                f"{total_bytes:,.0f}",
                percent(core),
                "yes" if is_within_targets else "**no**",
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
        (
            "owned engines",
            design.engines_per_daemon(),
            "own engine",
            "grant and release",
        ),
        ("advancing", design.engines_per_daemon(), "own engine", "queues advanced"),
        ("known engines", design.ENGINES, "engine", "home and owner found"),
        ("change of daemons", design.ENGINES, "engine", "owners after a loss"),
        ("cached prefixes", design.PREFIXES_PER_ENGINE, "prefix", "a cache event"),
        ("displaced chats", design.DISPLACED_CHATS, "chat", "a displaced chat"),
    ):
        memory, time = estimates.memory_fit(name), estimates.operation_fit(name)
        rows.append(
            (
                name,
                f"{memory.slopes[0]:,.0f} B a {unit}",
                f"{memory.max_residual:,.0f} B",
                f"{size:,.0f}",
                megabytes(memory.predict(size)),
                f"{operation}: {1e6 * time.predict(size):,.0f} us",
                f"{1e6 * time.max_residual:,.0f} us",
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
    """Add up the memory of one daemon's control state at the design size."""
    engines = design.engines_per_daemon()
    rows = [
        (
            "hosts as facts and members",
            estimates.memory_fit("known hosts").predict(design.HOSTS),
        ),
        ("daemons", estimates.memory_fit("known daemons").predict(design.DAEMONS)),
        (
            "loads of other owners",
            estimates.memory_fit("known loads").predict(design.DAEMONS),
        ),
        (
            "configuration",
            estimates.memory_fit("configuration").predict(design.WORKSPACES),
        ),
        (
            "engines in the directory",
            estimates.memory_fit("known engines").predict(design.ENGINES),
        ),
        ("own engines", estimates.memory_fit("owned engines").predict(engines)),
        (
            "cached prefixes of own engines",
            engines
            * estimates.memory_fit("cached prefixes").predict(
                design.PREFIXES_PER_ENGINE
            ),
        ),
        (
            "displaced chats",
            estimates.memory_fit("displaced chats").predict(design.DISPLACED_CHATS),
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
    return render_table(
        ("state", "memory"), ((name, megabytes(size)) for name, size in rows)
    )


def roles(estimates: Estimates) -> str:
    """List each role's state, messages, processor time and memory."""
    requests = design.requests_per_daemon()
    engines = design.engines_per_daemon()
    seconds_per_chat, seconds_per_token = estimates.relay.slopes
    tokens = design.TOKENS_PER_SECOND / design.DAEMONS
    grant_seconds = estimates.operation_fit("owned engines").predict(engines)
    advance_seconds = estimates.operation_fit("advancing").predict(engines)
    home_seconds = estimates.operation_fit("known engines").predict(design.ENGINES)
    answer_seconds = estimates.operation_fit("locating").predict(design.DAEMONS)
    apply_seconds = estimates.operation_fit("configuration").predict(design.WORKSPACES)
    changes = design.CHANGES_PER_DAY / design.SECONDS_PER_DAY
    lease_writes = estimates.store_calls_fit("idle second", "table_writes").slopes[0]
    order_seconds = estimates.store_calls_fit("order", "processor_seconds").slopes[0]
    order_writes = estimates.store_calls_fit("order", "table_writes").slopes[0]
    plan_writes = estimates.store_calls_fit("plan", "table_writes").slopes[0]
    prefix_memory = estimates.memory_fit("cached prefixes").predict(
        design.PREFIXES_PER_ENGINE
    )
    owner_memory = estimates.memory_fit("owned engines").predict(engines)
    directory_memory = estimates.memory_fit("known engines").predict(design.ENGINES)
    link_memory = estimates.resident_bytes.slopes[0] * (design.DAEMONS - 1)
    packet_bytes = estimates.control_bytes_at(0.0, packets=True)
    event_seconds = estimates.operation_fit("cached prefixes").predict(
        design.PREFIXES_PER_ENGINE
    )
    rows = (
        (
            "entry",
            "running streams",
            f"{requests:.0f} chats/s, {tokens:,.0f} tokens/s",
            f"{seconds_per_chat * requests + seconds_per_token * tokens:.1f} cores",
            "not measured",
        ),
        (
            "owner",
            f"{engines:.0f} own engines, {design.ENGINES:,} in the directory",
            "grants and releases, local unless the caller came to another daemon",
            percent(
                grant_seconds * requests
                + advance_seconds * ADVANCES_PER_SECOND
                + home_seconds * requests
            ),
            megabytes(owner_memory + directory_memory),
        ),
        (
            "locate",
            "the membership",
            "one answer a caller and time to live",
            f"{1e6 * answer_seconds:,.0f} us an answer",
            "none of its own",
        ),
        (
            "links",
            f"{design.persistent_links_per_daemon():.1f} lasting links, "
            "others on demand",
            f"{packet_bytes:,.0f} B/s with packets, no remote grant",
            percent(estimates.processor_share_at(0.0)),
            f"{megabytes(link_memory)} with a link to every daemon",
        ),
        (
            "configuration",
            f"{design.WORKSPACES:,} workspaces",
            f"{changes:.2f} deltas/s",
            percent(apply_seconds * changes),
            megabytes(estimates.memory_fit("configuration").predict(design.WORKSPACES)),
        ),
        (
            "leases",
            "one lease",
            f"{lease_writes:.2f} table writes/s, "
            f"{lease_writes * design.DAEMONS:,.0f}/s in the fleet",
            "within the idle daemon's",
            "not measured",
        ),
        (
            "ledger of non-idempotent work",
            "records in the table service",
            f"{order_writes:.1f} table writes an order",
            f"{1e3 * order_seconds:.1f} ms an order",
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
            f"{design.PREFIXES_PER_ENGINE:,} prefixes an engine, "
            f"{design.DISPLACED_CHATS:,} displaced chats",
            "cache events of own engines",
            f"{1e6 * event_seconds:.0f} us an event",
            megabytes(
                prefix_memory * engines
                + estimates.memory_fit("displaced chats").predict(
                    design.DISPLACED_CHATS
                )
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
