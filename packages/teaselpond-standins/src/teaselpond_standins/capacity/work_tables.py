"""Render the tables of calls: stores, relays and bursts."""

from . import design, message_sizes
from .estimates import Estimates
from .rendering import percent, render_table


def stores(estimates: Estimates) -> str:
    """List what actions ask of the stores, and what that is for the fleet."""
    rows = []
    for action in ("idle second", "order", "plan"):
        table_reads = estimates.store_calls(action, "table_reads").slopes[0]
        table_writes = estimates.store_calls(action, "table_writes").slopes[0]
        object_reads = estimates.store_calls(action, "object_reads").slopes[0]
        object_writes = estimates.store_calls(action, "object_writes").slopes[0]
        processor = estimates.store_calls(action, "processor_seconds").slopes[0]
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
    """Work out the stores' load at the design size."""
    reads = estimates.store_calls("idle second", "table_reads").slopes[0]
    writes = estimates.store_calls("idle second", "table_writes").slopes[0]
    order_writes = estimates.store_calls("order", "table_writes").slopes[0]
    fleet_writes = writes * design.DAEMONS
    left = design.TABLE_WRITES_PER_SECOND - fleet_writes
    changes = design.CHANGES_A_DAY / design.SECONDS_A_DAY
    orders = left / order_writes
    return render_table(
        ("what", "at the design size"),
        (
            ("idle table reads", f"{reads * design.DAEMONS:,.0f}/s"),
            ("idle table writes (leases)", f"{fleet_writes:,.0f}/s"),
            ("configuration changes", f"{changes:.2f}/s"),
            ("writes left of 300/s", f"{left:,.0f}/s"),
            (
                "orders that these writes bear",
                f"{orders:,.0f}/s, {percent(orders / design.REQUESTS_PER_SECOND)} "
                "of all requests",
            ),
        ),
    )


def relay_points(estimates: Estimates) -> str:
    """List the measured relays."""
    return render_table(
        ("chats", "tokens a chat", "tokens", "processor seconds", "seconds"),
        (
            (p.chats, p.tokens_a_chat, p.tokens, p.processor_seconds, p.seconds)
            for p in estimates.points.relays
        ),
    )


def relay_design(estimates: Estimates) -> str:
    """Work out the processor time of relaying at the design size."""
    a_chat, a_token = estimates.relay.slopes
    requests = design.requests_a_daemon()
    tokens = design.TOKENS_PER_SECOND / design.DAEMONS
    cores = a_chat * requests + a_token * tokens
    return render_table(
        ("what", "value"),
        (
            ("processor time a chat", f"{1e3 * a_chat:.1f} ms"),
            ("processor time a streamed token", f"{1e6 * a_token:.0f} us"),
            ("largest residual", f"{estimates.relay.spread:.2f} s"),
            ("chats a daemon", f"{requests:.0f}/s"),
            ("tokens a daemon", f"{tokens:,.0f}/s"),
            ("cores a daemon, at one event a token", f"**{cores:.1f}**"),
            ("tokens a second that one core relays", f"{1 / a_token:,.0f}"),
        ),
    )


def bursts(estimates: Estimates) -> str:
    """Work out bursts from the sizes of messages and the measured times."""
    links = design.lasting_links_a_daemon()
    member = message_sizes.member_fact_bytes() * links
    host = message_sizes.host_fact_bytes() * links
    owners = estimates.operation("change of daemons").at(design.ENGINES)
    restarts = design.RESTARTS_A_DAY / design.SECONDS_A_DAY
    changes = design.CHANGES_A_DAY / design.SECONDS_A_DAY
    delta = message_sizes.configuration_delta_bytes(design.WORKSPACES)
    notice = message_sizes.configuration_notice_bytes() * links
    apply = estimates.operation("configuration").at(design.WORKSPACES)
    zone_daemons = design.DAEMONS / design.ZONES
    zone_engines = design.ENGINES / design.ZONES
    rows = [
        (
            f"{name} lost: {daemons:.0f} daemons, {engines:.0f} engines",
            f"{2 * member * daemons / 1000:,.0f} kB of members "
            f"(suspect, gone), {host * engines / 1000:,.0f} kB of hosts",
            f"{owners:.2f} s for each membership taken while it falls apart",
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
            f"{3 * member * restarts:,.0f} B/s (leaving, gone, alive)",
            f"{percent(2 * owners * restarts)} of a core for owners",
        )
    )
    rows.append(
        (
            f"configuration changes, {changes:.3f}/s",
            f"{(delta + notice) * changes:,.0f} B/s "
            f"({delta} B a delta, a notice a link)",
            f"{percent(apply * changes)} of a core",
        )
    )
    return render_table(("burst", "bytes a daemon", "processor time a daemon"), rows)
