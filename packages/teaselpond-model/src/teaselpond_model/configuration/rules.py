"""Declare what each key of the document may hold."""

import enum
import re
from typing import Any, Protocol

from attrs import Attribute, Factory, field, frozen

RULE = "teaselpond-rule"
ID_PATTERN = re.compile(r"[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?")


class Rule(Protocol):
    """Say what is allowed, and convert from and to JSON values."""

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""

    def read(self, value: Any) -> Any:
        """Convert a JSON value; raise ValueError when it is not allowed."""

    def write(self, value: Any) -> Any:
        """Convert to a JSON value."""


@frozen
class TextRule:
    """Allow a text, optionally of one pattern."""

    allowed: str = "a text that is not empty"
    pattern: str = r"(?s).+"

    def read(self, value: Any) -> str:
        """Return the text."""
        if not isinstance(value, str) or not re.fullmatch(self.pattern, value):
            raise ValueError(self.allowed)
        return value

    def write(self, value: str) -> str:
        """Return the text."""
        return value


@frozen
class TextsRule:
    """Allow a list of different texts."""

    item: TextRule = TextRule()

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return f"a list without repeats, each item {self.item.allowed}"

    def read(self, value: Any) -> tuple[str, ...]:
        """Return the texts in their order."""
        if not isinstance(value, list | tuple):
            raise ValueError(self.allowed)
        texts = tuple(self.item.read(item) for item in value)
        if len(set(texts)) != len(texts):
            raise ValueError(self.allowed)
        return texts

    def write(self, value: tuple[str, ...]) -> list[str]:
        """Return a list of the texts."""
        return list(value)


@frozen
class ChoiceRule:
    """Allow the values of an enumeration.

    ``safest`` stands in for a value that a newer program has accepted.
    """

    choices: type[enum.Enum]
    safest: enum.Enum

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return " or ".join(f'"{choice.value}"' for choice in self.choices)

    def read(self, value: Any) -> enum.Enum:
        """Return the member of the enumeration."""
        try:
            return self.choices(value)
        except ValueError:
            raise ValueError(self.allowed) from None

    def write(self, value: enum.Enum) -> str:
        """Return the member's value."""
        return value.value


@frozen
class NumberRule:
    """Allow numbers in a range, whole ones only if ``whole``."""

    minimum: float
    maximum: float
    whole: bool = False

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        kind = "a whole number" if self.whole else "a number"
        return f"{kind} from {self.minimum:g} to {self.maximum:g}"

    def read(self, value: Any) -> float | int:
        """Return the number."""
        kinds = int if self.whole else (int, float)
        if isinstance(value, bool) or not isinstance(value, kinds):
            raise ValueError(self.allowed)
        if not self.minimum <= value <= self.maximum:
            raise ValueError(self.allowed)
        return value if self.whole else float(value)

    def write(self, value: float | int) -> float | int:
        """Return the number."""
        return value


@frozen
class FlagRule:
    """Allow true and false."""

    allowed: str = "true or false"

    def read(self, value: Any) -> bool:
        """Return the flag."""
        if not isinstance(value, bool):
            raise ValueError(self.allowed)
        return value

    def write(self, value: bool) -> bool:
        """Return the flag."""
        return value


def _ruled(rule: Rule, default: Any) -> Any:
    settings = {} if default is None else {"default": default}
    return field(metadata={RULE: rule}, **settings)


def text(default: str | None = None, rule: TextRule | None = None) -> Any:
    """Declare a key that holds a text."""
    return _ruled(rule or TextRule(), default)


def texts(rule: TextRule | None = None, required: bool = False) -> Any:
    """Declare a key that holds a list of texts."""
    default = None if required else Factory(tuple)
    return _ruled(TextsRule(rule or TextRule()), default)


def choice(safest: enum.Enum, default: enum.Enum | None = None) -> Any:
    """Declare a key that holds a member of an enumeration."""
    return _ruled(ChoiceRule(type(safest), safest), default)


def number(minimum: float, maximum: float, default: float | None = None) -> Any:
    """Declare a key that holds a number."""
    return _ruled(NumberRule(minimum, maximum), default)


def whole(minimum: int, maximum: int, default: int | None = None) -> Any:
    """Declare a key that holds a whole number."""
    return _ruled(NumberRule(minimum, maximum, whole=True), default)


def flag(default: bool | None = None) -> Any:
    """Declare a key that holds true or false."""
    return _ruled(FlagRule(), default)


def rule_of(attribute: Attribute) -> Rule | None:
    """Return the rule of an attrs attribute, or None for an item's id."""
    return attribute.metadata.get(RULE)
