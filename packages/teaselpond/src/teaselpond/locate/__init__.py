"""Tell callers which daemons to use."""

from .answers import LocateAnswer, LocateQuestion, LocateSettings, locate

__all__ = ["LocateAnswer", "LocateQuestion", "LocateSettings", "locate"]
