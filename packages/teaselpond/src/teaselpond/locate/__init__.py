"""Return to callers the daemons that they should use."""

from .answers import (
    LocateAnswer,
    LocateQuestion,
    LocateSettings,
    locate,
    max_answer_lifetime_seconds,
)

__all__ = [
    "LocateAnswer",
    "LocateQuestion",
    "LocateSettings",
    "locate",
    "max_answer_lifetime_seconds",
]
