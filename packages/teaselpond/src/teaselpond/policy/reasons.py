"""Enumerate the reasons for refusals, retries and cold starts."""

import enum


class RefusalReason(enum.Enum):
    """Enumerate why a request was refused before it ran."""

    DEADLINE_PASSED = "deadline-passed"
    DEADLINE_OUT_OF_REACH = "deadline-out-of-reach"
    NO_ENGINE = "no-engine"
    ENGINES_UNAVAILABLE = "engines-unavailable"
    QUEUE_FULL = "queue-full"
    SHED = "shed"
    RETRY_BUDGET = "retry-budget"
    NOT_OWNER = "not-owner"


class RetryReason(enum.Enum):
    """Enumerate why a request is retried."""

    ENGINE_UNREACHABLE = "engine-unreachable"
    ENGINE_REFUSED = "engine-refused"
    ANSWER_CUT = "answer-cut"
    ANSWER_SILENT = "answer-silent"
    OWNER_UNREACHABLE = "owner-unreachable"
    REFUSED = "refused"


class ColdReason(enum.Enum):
    """Enumerate why an engine is considered cold."""

    FIRST_SEEN = "first-seen"
    INCARNATION = "incarnation"
    RETURNED = "returned"
    CACHE_CLEARED = "cache-cleared"
    QUIET = "quiet"
    SLOW_FIRST_TOKEN = "slow-first-token"
    FAILURE = "failure"
