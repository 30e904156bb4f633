"""Convert the platform's and the engines' JSON to contract objects."""

import functools
import json
from typing import TypeVar

import cattrs

from ..contracts import Address
from ..store_calls import PlatformAnswer

T = TypeVar("T")


def _structure_exactly(kind: type, value: object, _: type) -> object:
    # By default cattrs calls str() or int() on any value, which would accept
    # a malformed answer of an upstream.
    if type(value) is not kind:
        raise TypeError(f"expected {kind.__name__}, got {value!r:.80}")
    return value


def _structure_float(value: object, _: type) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"expected a number, got {value!r:.80}")
    return float(value)


@functools.cache
def make_converter() -> cattrs.Converter:
    """Return the converter for the JSON bodies of external systems."""
    converter = cattrs.Converter()
    for kind in (str, int, bool):
        hook = functools.partial(_structure_exactly, kind)
        converter.register_structure_hook(kind, hook)
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook(Address, lambda text, _: Address.parse(text))
    converter.register_unstructure_hook(Address, str)
    return converter


def parse_answer(answer: PlatformAnswer, kind: type[T]) -> T:
    """Parse an answer's JSON body as an object of a type; raise ValueError."""
    try:
        return make_converter().structure(json.loads(answer.content), kind)
    except (ValueError, RecursionError, cattrs.BaseValidationError) as error:
        start = answer.content[:80]
        raise ValueError(f"expected JSON of {kind.__name__}, got {start!r}") from error
