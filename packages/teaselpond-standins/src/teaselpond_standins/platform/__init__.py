"""Replace the platform in tests, in memory and over HTTP."""

from .faults import PlatformFault, PlatformFaultKind, PlatformFaults
from .hosts import MemoryHosts
from .objects import MemoryObjects
from .standin import PlatformStandin
from .table import MemoryTable
from .weights import MemoryWeights

__all__ = [
    "MemoryHosts",
    "MemoryObjects",
    "MemoryTable",
    "MemoryWeights",
    "PlatformFault",
    "PlatformFaultKind",
    "PlatformFaults",
    "PlatformStandin",
]
