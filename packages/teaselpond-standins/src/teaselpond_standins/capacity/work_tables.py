"""Render the tables of store calls, relayed chats and bursts."""

from . import design, message_sizes
from .estimates import Estimates
from .rendering import percent, render_table


def stores(estimates: Estimates) -> str:
    """List the store calls and the processor time of each action."""
    rows = []
    for action in ("idle second", "order", "plan"):
        table_reads = estimates.store_calls_fit(action, "table_reads").slopes[0]
        table_writes = estimates.store_calls_fit(action, "table_writes").slopes[0]
        object_reads = estimates.store_calls_fit(action, "object_reads").slopes[0]
        object_writes = estimates.store_calls_fit(action, "object_writes").slopes[0]
        processor = estimates.store_calls_fit(action, "processor_seconds").slopes[0]
        rows.append(
            (
                action,
                f"{table_reads:.2f}",
                f"{table_writes:.2f}",
                f"{object_reads:.2f}",
                f"{object_writes:.2f}",
                f"{1e3 * processor:.1f} ms",
            )
        )
    return render_table(
        (
            "action of one daemon",
            "table reads",
            "table writes",
            "object reads",
            "object writes",
            "processor",
        ),
        rows,
    )


def stores_design(estimates: Estimates) -> str:
    """Estimate the stores' load at the design size."""
    reads = estimates.store_calls_fit("idle second", "table_reads").slopes[0]
    writes = estimates.store_calls_fit("idle second", "table_writes").slopes[0]
    order_writes = estimates.store_calls_fit("order", "table_writes").slopes[0]
    fleet_writes = writes * design.DAEMONS
    writes_left = design.TABLE_WRITES_PER_SECOND - fleet_writes
    changes = design.CHANGES_PER_DAY / design.SECONDS_PER_DAY
    orders = writes_left / order_writes
    return render_table(
        ("what", "at the design size"),
        (
            ("idle table reads", f"{reads * design.DAEMONS:,.0f}/s"),
            ("idle table writes (leases)", f"{fleet_writes:,.0f}/s"),
            ("configuration changes", f"{changes:.2f}/s"),
            ("writes left of 300/s", f"{writes_left:,.0f}/s"),
            (
                "orders that these writes bear",
                f"{orders:,.0f}/s, {percent(orders / design.REQUESTS_PER_SECOND)} "
                "of all requests",
            ),
        ),
    )


def relay_points(estimates: Estimates) -> str:
    """List the measured points of relayed chats."""
    return render_table(
        ("chats", "tokens a chat", "tokens", "processor seconds", "seconds"),
        (
            (p.chats, p.tokens_a_chat, p.tokens, p.processor_seconds, p.seconds)
            for p in estimates.points.relays
        ),
    )


def relay_design(estimates: Estimates) -> str:
    """Estimate the processor time of relaying at the design size."""
    seconds_per_chat, seconds_per_token = estimates.relay.slopes
    requests = design.requests_per_daemon()
    tokens = design.TOKENS_PER_SECOND / design.DAEMONS
    cores = seconds_per_chat * requests + seconds_per_token * tokens
    return render_table(
        ("what", "value"),
        (
            ("processor time a chat", f"{1e3 * seconds_per_chat:.1f} ms"),
            ("processor time a streamed token", f"{1e6 * seconds_per_token:.0f} us"),
            ("largest residual", f"{estimates.relay.max_residual:.2f} s"),
            ("chats a daemon", f"{requests:.0f}/s"),
            ("tokens a daemon", f"{tokens:,.0f}/s"),
            ("cores a daemon, at one event a token", f"**{cores:.1f}**"),
            ("tokens a second that one core relays", f"{1 / seconds_per_token:,.0f}"),
        ),
    )


def bursts(estimates: Estimates) -> str:
    """Estimate bursts from the sizes of messages and the measured times."""
    links = design.persistent_links_per_daemon()
    member_bytes = message_sizes.member_fact_bytes() * links
    host_bytes = message_sizes.host_fact_bytes() * links
    owners_seconds = estimates.operation_fit("change of daemons").predict(
        design.ENGINES
    )
    restarts = design.RESTARTS_PER_DAY / design.SECONDS_PER_DAY
    changes = design.CHANGES_PER_DAY / design.SECONDS_PER_DAY
    delta_bytes = message_sizes.configuration_delta_bytes(design.WORKSPACES)
    notice_bytes = message_sizes.configuration_notice_bytes() * links
    apply_seconds = estimates.operation_fit("configuration").predict(design.WORKSPACES)
    zone_daemons = design.DAEMONS / design.ZONES
    zone_engines = design.ENGINES / design.ZONES
    rows = [
        (
            f"{name} lost: {daemons:.0f} daemons, {engines:.0f} engines",
            f"{2 * member_bytes * daemons / 1000:,.0f} kB of members "
            f"(suspect, gone), {host_bytes * engines / 1000:,.0f} kB of hosts",
            f"{owners_seconds:.2f} s for each membership taken while it falls apart",
        )
        for name, daemons, engines in (
            ("zone", zone_daemons, zone_engines),
            (
                "region",
                design.DAEMONS / design.REGIONS,
                design.ENGINES / design.REGIONS,
            ),
        )
    ]
    rows.append(
        (
            f"rolling restart, {restarts:.3f}/s",
            f"{3 * member_bytes * restarts:,.0f} B/s (leaving, gone, alive)",
            f"{percent(2 * owners_seconds * restarts)} of a core for owners",
        )
    )
    rows.append(
        (
            f"configuration changes, {changes:.3f}/s",
            f"{(delta_bytes + notice_bytes) * changes:,.0f} B/s "
            f"({delta_bytes} B a delta, a notice a link)",
            f"{percent(apply_seconds * changes)} of a core",
        )
    )
    return render_table(("burst", "bytes a daemon", "processor time a daemon"), rows)
