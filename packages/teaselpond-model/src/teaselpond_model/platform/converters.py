"""Turn the platform's and the engines' JSON into contract objects."""

import functools
import json
from typing import TypeVar

import cattrs

from ..contracts import Address
from ..store_calls import PlatformAnswer

T = TypeVar("T")


def _structure_exactly(kind: type, value: object, _: type) -> object:
    # cattrs would call str() or int() on anything, and so would accept rubbish
    # from an upstream as if it were an answer.
    if type(value) is not kind:
        raise TypeError(f"not of type {kind.__name__}: {value!r:.80}")
    return value


def _structure_float(value: object, _: type) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"not a number: {value!r:.80}")
    return float(value)


@functools.cache
def make_converter() -> cattrs.Converter:
    """Return the converter of the outside interfaces' JSON bodies."""
    converter = cattrs.Converter()
    for kind in (str, int, bool):
        hook = functools.partial(_structure_exactly, kind)
        converter.register_structure_hook(kind, hook)
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook(Address, lambda text, _: Address.parse(text))
    converter.register_unstructure_hook(Address, str)
    return converter


def parse_answer(answer: PlatformAnswer, kind: type[T]) -> T:
    """Read an answer's JSON body as an object; raise ValueError."""
    try:
        return make_converter().structure(json.loads(answer.content), kind)
    except (ValueError, RecursionError, cattrs.BaseValidationError) as error:
        start = answer.content[:80]
        raise ValueError(f"not a {kind.__name__}: {start!r}") from error
