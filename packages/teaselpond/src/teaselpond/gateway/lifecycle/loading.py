"""Load the libraries of a process with less work.

This module imports nothing that is slow to load.
"""

import importlib
import reprlib
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import attr
import attrs

# Libraries that find no TLS do without it. The gateway speaks plain HTTP only.
# With TLS, the HTTP library reads all certificates of the system when it is
# imported.
TLS_MODULES = ("ssl", "_ssl", "_hashlib")
# Modules of the standard library that define less without TLS, those that are
# imported by others first.
REDUCED_MODULES = ("http.client", "urllib.request")


@contextmanager
def without_tls() -> Iterator[None]:
    """Hide the TLS modules from what is imported meanwhile.

    Libraries that are imported later, as for metrics, may need them.
    """
    hidden = [name for name in TLS_MODULES if name not in sys.modules]
    sys.modules.update(dict.fromkeys(hidden))
    try:
        yield
    finally:
        for name in hidden:
            del sys.modules[name]


def reload_with_tls() -> None:
    """Complete the modules that were imported without TLS.

    The library for metrics needs them. It takes some 6 ms and 4 MB, so that a
    process does so only when its metrics are first asked for.
    """
    for name in REDUCED_MODULES:
        module = sys.modules.get(name)
        if module is not None and not hasattr(module, "ssl"):
            importlib.reload(module)


@contextmanager
def sharing_repr() -> Iterator[None]:
    """Give the attrs classes that are defined meanwhile one repr method.

    attrs compiles one for each class otherwise, which took a tenth of the
    processor time of a start. The result of ``repr`` is the same.
    """
    decorators = attrs.define, attrs.frozen, attr.s
    attrs.define, attrs.frozen, attr.s = map(_share_repr, decorators)
    try:
        yield
    finally:
        attrs.define, attrs.frozen, attr.s = decorators


def _share_repr(decorate: Callable[..., Any]) -> Callable[..., Any]:
    def define(maybe_class: type | None = None, **options: Any) -> Any:
        def build(class_: type) -> type:
            if "repr" in options or "__repr__" in vars(class_):
                return decorate(class_, **options)
            class_.__repr__ = _represent
            return decorate(class_, repr=False, **options)

        return build if maybe_class is None else build(maybe_class)

    return define


@reprlib.recursive_repr()
def _represent(instance: Any) -> str:
    """Return what the repr method of attrs returns."""
    parts = []
    for each in attrs.fields(type(instance)):
        if each.repr:
            represent = each.repr if callable(each.repr) else repr
            default = () if each.init else (attrs.NOTHING,)
            value = getattr(instance, each.name, *default)
            parts.append(f"{each.name}={represent(value)}")
    name = type(instance).__qualname__.rsplit(">.", 1)[-1]
    return f"{name}({', '.join(parts)})"
