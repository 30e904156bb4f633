"""Replace upstreams in tests with servers that inject faults.

ServiceStandin is a plain service; ListedUpstream is an upstream whose entry
is in the platform's row store.
"""

from .faults import ServiceFault, ServiceFaultKind
from .listed import (
    PREFIX_HASH,
    ListedFault,
    ListedFaultKind,
    ListedUpstream,
    SeenCall,
)
from .standin import ServiceStandin

__all__ = [
    "PREFIX_HASH",
    "ListedFault",
    "ListedFaultKind",
    "ListedUpstream",
    "SeenCall",
    "ServiceFault",
    "ServiceFaultKind",
    "ServiceStandin",
]
