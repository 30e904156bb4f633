"""Provide a stand-in for a model engine."""

from .answers import expected_answer
from .faults import EngineFault, EngineFaultKind
from .settings import EngineSettings
from .standin import EngineStandin

__all__ = [
    "EngineFault",
    "EngineFaultKind",
    "EngineSettings",
    "EngineStandin",
    "expected_answer",
]
