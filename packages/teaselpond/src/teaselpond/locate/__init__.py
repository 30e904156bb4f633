"""Tell callers which daemons to use."""

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
