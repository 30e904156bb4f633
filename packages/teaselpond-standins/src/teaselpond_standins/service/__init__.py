"""Stand in for a plain service."""

from .faults import ServiceFault, ServiceFaultKind
from .standin import ServiceStandin

__all__ = ["ServiceFault", "ServiceFaultKind", "ServiceStandin"]
