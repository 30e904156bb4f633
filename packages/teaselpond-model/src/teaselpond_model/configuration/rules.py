"""Declare the allowed values of the document's keys.

The functions at the end make attrs fields that carry a rule.
"""

import enum
import re
from typing import Any, Protocol

from attrs import Attribute, Factory, field, frozen

RULE_METADATA_KEY = "teaselpond-rule"
ID_PATTERN = re.compile(r"[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?")


class Rule(Protocol):
    """Describe the allowed values and convert them from and to JSON values."""

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""

    def read(self, value: Any) -> Any:
        """Convert from a JSON value; raise ValueError if it isn't allowed."""

    def write(self, value: Any) -> Any:
        """Convert to a JSON value."""


@frozen
class TextRule:
    """Allow strings that match a pattern, by default any non-empty one."""

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
    """Allow a list of different strings."""

    item: TextRule = TextRule()

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return f"a list without repeats, each item {self.item.allowed}"

    def read(self, value: Any) -> tuple[str, ...]:
        """Return the strings in their order."""
        if not isinstance(value, list | tuple):
            raise ValueError(self.allowed)
        texts = tuple(self.item.read(item) for item in value)
        if len(set(texts)) != len(texts):
            raise ValueError(self.allowed)
        return texts

    def write(self, value: tuple[str, ...]) -> list[str]:
        """Return a list of the strings."""
        return list(value)


@frozen
class ChoiceRule:
    """Allow the values of an enumeration.

    ``safest`` replaces a value that only a newer program knows.
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
    """Allow numbers in a range, including its ends."""

    minimum: float
    maximum: float
    integers_only: bool = False

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        kind = "a whole number" if self.integers_only else "a number"
        return f"{kind} from {self.minimum:g} to {self.maximum:g}"

    def read(self, value: Any) -> float | int:
        """Return the number."""
        types = int if self.integers_only else (int, float)
        if isinstance(value, bool) or not isinstance(value, types):
            raise ValueError(self.allowed)
        if not self.minimum <= value <= self.maximum:
            raise ValueError(self.allowed)
        return value if self.integers_only else float(value)

    def write(self, value: float | int) -> float | int:
        """Return the number."""
        return value


@frozen
class FlagRule:
    """Allow a boolean."""

    allowed: str = "true or false"

    def read(self, value: Any) -> bool:
        """Return the flag."""
        if not isinstance(value, bool):
            raise ValueError(self.allowed)
        return value

    def write(self, value: bool) -> bool:
        """Return the flag."""
        return value


def _field_with_rule(rule: Rule, default: Any) -> Any:
    default_argument = {} if default is None else {"default": default}
    return field(metadata={RULE_METADATA_KEY: rule}, **default_argument)


def text(default: str | None = None, rule: TextRule | None = None) -> Any:
    """Declare a key with a string value."""
    return _field_with_rule(rule or TextRule(), default)


def texts(rule: TextRule | None = None, required: bool = False) -> Any:
    """Declare a key with a list of strings."""
    default = None if required else Factory(tuple)
    return _field_with_rule(TextsRule(rule or TextRule()), default)


def choice(safest: enum.Enum, default: enum.Enum | None = None) -> Any:
    """Declare a key with a value of an enumeration."""
    return _field_with_rule(ChoiceRule(type(safest), safest), default)


def number(minimum: float, maximum: float, default: float | None = None) -> Any:
    """Declare a key with a number value."""
    return _field_with_rule(NumberRule(minimum, maximum), default)


def integer(minimum: int, maximum: int, default: int | None = None) -> Any:
    """Declare a key with an integer value."""
    return _field_with_rule(NumberRule(minimum, maximum, integers_only=True), default)


def flag(default: bool | None = None) -> Any:
    """Declare a key with a boolean value."""
    return _field_with_rule(FlagRule(), default)


def rule_of(attribute: Attribute) -> Rule | None:
    """Return the rule of an attrs attribute, or None for an item's id."""
    return attribute.metadata.get(RULE_METADATA_KEY)
