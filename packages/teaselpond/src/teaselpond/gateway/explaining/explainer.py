"""Find out where a request would go now, and why.

Handles a question of an operator now and then. It decides on
copies of the state, so that nothing changes.
"""

import random
from collections import Counter
from collections.abc import Callable, Sequence

from attrs import define
from multidict import CIMultiDict

from ..admission import Admission, make_call
from ..balancing.decisions import Decision, Placement, Sifted
from ..calls import Call, Head
from ..configuration import Configuration, Route
from ..drain import Drain, Phase
from ..engines import EngineState
from ..next_attempts import may_become_free, refusal_for
from ..overload.connection_shares import ConnectionShares
from ..overload.control import Hold, OverloadControl, Rejection
from ..placement import Placer
from ..replies import RESPONSES_BY_REFUSAL, Refusal
from ..rollouts.ramp import SHARES_BY_STAGE
from ..routing_state import EngineRecord
from .copies import copy_placer
from .explanations import (
    Explanation,
    Obstacle,
    Question,
    UpstreamExplanation,
    VersionShare,
)

# How often a choice with chance in it is repeated to estimate the chances;
# their standard error is below 0.04.
MAX_CHOICES = 200
# A choice may look at all upstreams of a service. Large services get fewer
# choices, because an explanation blocks the event loop.
MAX_LOOKS = 50_000
MIN_CHOICES = 10
# Bounds the answer to some 100 KB; a service may have thousands of upstreams.
MAX_UPSTREAMS = 256
# Makes explanations of the same state equal.
SEED = 0


@define(eq=False)
class Explainer:
    """Explain decisions with the rules and the state that make them."""

    gateway: str
    admission: Admission
    drain: Drain
    placer: Placer
    overload: OverloadControl
    connections: ConnectionShares
    host_count: Callable[[], int]

    def explain(self, question: Question, now: float) -> Explanation:
        """Return where a request would go now, and what would refuse it."""
        explanation = Explanation(self.gateway)
        if self.drain.phase(now) in (Phase.REFUSING, Phase.ENDED):
            explanation.obstacles.append(_obstacle(Refusal.LEAVING))
        configuration = self.admission.routing_state.configuration
        if configuration is None:
            explanation.obstacles.append(_obstacle(Refusal.NOT_READY))
            return explanation
        explanation.configuration_version = configuration.version
        call = self._admit(question, configuration, explanation, now)
        if call is None:
            return explanation
        explanation.route = call.route.name
        explanation.service = call.service
        self._explain_rollout(call, explanation)
        overload = self.overload.copy(call.service, random.Random(SEED))
        self._explain_overload(call, overload, explanation, now)
        self._explain_placement(call, overload, explanation, now)
        return explanation

    def _admit(
        self,
        question: Question,
        configuration: Configuration,
        explanation: Explanation,
        now: float,
    ) -> Call | None:
        """Return the call, also a refused one; None if no route fits."""
        host, path = question.host, question.path
        if question.route:
            named = _find_route(configuration, question.route)
            if named is None:
                detail = f"no route is named {question.route}"
                explanation.obstacles.append(_obstacle(Refusal.NO_ROUTE, detail))
                return None
            host, path = named.host, named.prefix
        head = Head(
            request_id=question.request_id,
            method="POST",
            target=path,
            host=host,
            key=_find_key(configuration, question.workspace),
            deadline_seconds=None,
            prompt=question.prompt,
            last_event_id=None,
            headers=CIMultiDict(),
        )
        admitted = self.admission.check_head(head, now)
        if not isinstance(admitted, Refusal):
            return make_call(head, b"", *admitted, now)
        detail = ""
        if admitted is Refusal.KEY_UNKNOWN:
            detail = f"no workspace {question.workspace!r} has a key"
        explanation.obstacles.append(_obstacle(admitted, detail))
        route = configuration.find_route(head.host, head.path)
        if route is None:
            return None
        return make_call(head, b"", configuration, route, None, now)

    def _explain_rollout(self, call: Call, explanation: Explanation) -> None:
        rollout = self.placer.rollouts.rollouts_by_service.get(call.service)
        if rollout is None:
            return
        share = SHARES_BY_STAGE.get(rollout.stage, 0.0)
        if rollout.stage.name == "TRIAL":
            share = rollout.budget.ratio
        explanation.rollout = VersionShare(
            rollout.order.to_version, rollout.stage.name.lower(), share
        )

    def _explain_overload(
        self,
        call: Call,
        overload: OverloadControl,
        explanation: Explanation,
        now: float,
    ) -> None:
        share = overload.admitted_share(call, now)
        if share < 1.0:
            retry_seconds = overload.send_back(call, now)
            step = Rejection("share", retry_seconds)
            explanation.obstacles.append(_overload_obstacle(step, 1.0 - share))
        # A call that was offered before is not subject to the share.
        step = overload.admit(call, now, has_offers=True)
        if step is not None:
            explanation.obstacles.append(_overload_obstacle(step, share))

    def _explain_placement(
        self,
        call: Call,
        overload: OverloadControl,
        explanation: Explanation,
        now: float,
    ) -> None:
        host_count = self.host_count()
        placer = copy_placer(self.placer, call.service, random.Random(SEED))
        full_ids = self.connections.copy().full_ids(call.service, now)
        decision = placer.decide(call, full_ids, now, host_count)
        placement = decision.placement
        chances: dict[str, float] = {}
        ranks: dict[str, int] = {}
        if isinstance(placement, Placement):
            chances, ranks = self._chances(call, placer, decision, now, host_count)
            explanation.is_random = placement.is_random
            likely = [each for each, chance in chances.items() if chance]
            explanation.is_estimated = not placement.is_random and len(likely) > 1
            if len(likely) == 1:
                explanation.choice = likely[0]
                source = placement.copy_from
                explanation.copy_from = source.engine_id if source else ""
        elif full_ids and may_become_free(placement):
            step = overload.hold_again(call, now)
            explanation.obstacles.append(_overload_obstacle(step, 1.0))
        else:
            explanation.obstacles.append(
                _obstacle(
                    refusal_for(placement), placement.reason, placement.retry_seconds
                )
            )
        explanation.mean_load = round(decision.mean, 3)
        explanation.load_limit = placer.load_limit(decision.mean)
        held_ids = frozenset(placer.holders(call, now))
        upstreams = []
        reasons_by_id = _left_out_reasons(decision, placer, now)
        candidate_ids = frozenset(chances)
        for record in decision.records:
            engine = record.engine
            engine_id = engine.engine_id
            load_age = placer.loads.load_age_seconds(engine_id, now)
            upstreams.append(
                UpstreamExplanation(
                    engine_id,
                    engine.availability_zone,
                    engine.version,
                    reasons_by_id.get(engine_id, ""),
                    decision.loads_by_id[engine_id],
                    round(load_age, 3) if load_age is not None else None,
                    round(placer.loads.slowness.estimate(engine_id, now), 3),
                    round(max(0.0, record.cold_until - now), 3),
                    engine_id in held_ids,
                    engine_id in candidate_ids,
                    ranks.get(engine_id),
                    round(chances.get(engine_id, 0.0), 4),
                )
            )
            if engine_id in candidate_ids and not chances[engine_id]:
                is_full = upstreams[-1].load > explanation.load_limit
                upstreams[-1].left_out = (
                    "above-load-limit" if is_full else "not-preferred"
                )
        counts = Counter(each.left_out for each in upstreams if each.left_out)
        explanation.counts_by_reason = dict(counts)
        explanation.upstream_count = len(upstreams)
        upstreams.sort(key=_likeliest_first)
        explanation.upstreams = upstreams[:MAX_UPSTREAMS]

    def _chances(
        self,
        call: Call,
        placer: Placer,
        decision: Decision,
        now: float,
        host_count: int,
    ) -> tuple[dict[str, float], dict[str, int]]:
        """Return the chances and the ranks of the candidates by id."""
        candidates = decision.sifted_groups[-1].candidates
        loads_by_id, mean = decision.loads_by_id, decision.mean
        order = placer.order(call, candidates, loads_by_id, now, host_count)
        if order is None:
            weights = placer.weigh(candidates, loads_by_id, mean, now)
            total = sum(weights)
            ids = [record.engine.engine_id for record in candidates]
            chances = [weight / total for weight in weights]
            return dict(zip(ids, chances, strict=True)), {}
        ids = [record.engine.engine_id for record in order]
        counts = Counter([decision.placement.rank])
        choices = max(MIN_CHOICES, min(MAX_CHOICES, MAX_LOOKS // len(order)))
        for _ in range(choices - 1):
            counts[
                placer.choose_rank(call, order, loads_by_id, mean, now, host_count)
            ] += 1
        return (
            {engine_id: counts[rank] / choices for rank, engine_id in enumerate(ids)},
            {engine_id: rank for rank, engine_id in enumerate(ids)},
        )


def _left_out_reasons(decision: Decision, placer: Placer, now: float) -> dict[str, str]:
    """Return by id why upstreams are no candidates."""
    evacuated = placer.routing_state.evacuated_zones
    reasons_by_id = {}
    for record in decision.records:
        engine = record.engine
        if engine.state is not EngineState.READY:
            reasons_by_id[engine.engine_id] = "draining"
        elif engine.availability_zone in evacuated:
            reasons_by_id[engine.engine_id] = "zone-evacuated"
        else:
            reasons_by_id[engine.engine_id] = "other-version"
    # The last group that was considered decided, unless there is no placement.
    last = len(decision.sifted_groups) - 1
    for number, sifted in enumerate(decision.sifted_groups):
        reasons = _sifting_reasons(decision.groups[number], sifted, now)
        for engine_id, reason in reasons.items():
            if not reason and number != last:
                reason = "above-load-limit"
            reasons_by_id[engine_id] = reason
    return reasons_by_id


def _sifting_reasons(
    records: Sequence[EngineRecord], sifted: Sifted, now: float
) -> dict[str, str]:
    """Return by id which check left out an upstream, empty for candidates."""
    cold = "cold-without-budget"
    if any(record.cold_until <= now for record in sifted.candidates):
        cold = "cold"
    reasons_by_id = {record.engine.engine_id: "connections-full" for record in records}
    for reason, passed in (
        ("backing-off", sifted.untried),
        ("ejected", sifted.usable),
        (cold, sifted.healthy),
        ("", sifted.candidates),
    ):
        for record in passed:
            reasons_by_id[record.engine.engine_id] = reason
    return reasons_by_id


def _likeliest_first(upstream: UpstreamExplanation) -> tuple:
    rank = upstream.rank if upstream.rank is not None else 0
    return (
        not upstream.is_candidate,
        -upstream.chance,
        rank,
        upstream.left_out,
        upstream.upstream,
    )


def _find_route(configuration: Configuration, name: str) -> Route | None:
    for route in configuration.routes:
        if route.name == name:
            return route
    return None


def _find_key(configuration: Configuration, workspace_name: str) -> str | None:
    for key, workspace in configuration.workspaces_by_key.items():
        if workspace.name == workspace_name:
            return key
    return None


def _obstacle(
    refusal: Refusal, detail: str = "", retry_seconds: float | None = None
) -> Obstacle:
    response = RESPONSES_BY_REFUSAL[refusal]
    if retry_seconds is None:
        retry_seconds = response.retry_after
    return Obstacle(refusal.value, response.status, detail, retry_seconds)


def _overload_obstacle(step: Hold | Rejection, chance: float) -> Obstacle:
    if isinstance(step, Hold):
        return Obstacle("held", None, held_seconds=step.seconds, chance=chance)
    refusal = Refusal.OVERLOADED
    status = RESPONSES_BY_REFUSAL[refusal].status
    return Obstacle(
        refusal.value, status, step.reason, step.retry_seconds, chance=chance
    )
