"""Convert typed values from and to text."""

import abc
import ipaddress
import re
from decimal import Decimal
from pathlib import Path

from expression import Error, Ok, Result

from flamingobank.schema.errors import suggest_name

# The smallest positive double, written as a percentage, has 340 digits after the
# decimal point; up to 400 are accepted, so that every share can be written.
_SHARE_PATTERN = re.compile(r"([0-9]{1,3}(?:\.[0-9]{1,400})?)%")
_DIGITS_PATTERN = re.compile(r"[0-9]{1,18}")
MAX_PORT = 65_535


class ValueType(abc.ABC):
    """Parse and render one type of value."""

    # Phrase that follows "expected" in error messages.
    expected: str

    @abc.abstractmethod
    def parse(self, text: str) -> Result[object, str]:
        """Return the value, or what is expected instead of the text."""

    def render(self, value: object) -> str:
        """Return the text that parses to the value."""
        return str(value)


class Pattern(ValueType):
    """Accept text that matches a regular expression."""

    def __init__(self, pattern: str, expected: str, lower: bool = False) -> None:
        self._pattern = re.compile(pattern)
        self._lower = lower
        self.expected = expected

    def parse(self, text: str) -> Result[str, str]:
        """Return the text, in lower case if so configured."""
        value = text.lower() if self._lower else text
        if not self._pattern.fullmatch(value):
            return Error(self.expected)
        return Ok(value)


class Choice(ValueType):
    """Accept one of a few texts."""

    def __init__(self, choices: dict[str, object]) -> None:
        self._choices = choices
        self.expected = f"one of {', '.join(choices)}"

    def parse(self, text: str) -> Result[object, str]:
        """Return the value that the text stands for."""
        if text not in self._choices:
            return Error(suggest_name(text, self._choices))
        return Ok(self._choices[text])

    def render(self, value: object) -> str:
        """Return the text that stands for the value."""
        for text, choice in self._choices.items():
            if choice == value:
                return text
        # This text does not parse, so validation reports the value.
        return repr(value)


class YesNo(Choice):
    """Accept yes or no."""

    def __init__(self) -> None:
        super().__init__({"yes": True, "no": False})


class Integer(ValueType):
    """Accept a whole number within bounds."""

    def __init__(self, low: int, high: int, unit: str = "") -> None:
        self._low = low
        self._high = high
        suffix = f" {unit}" if unit else ""
        self.expected = f"a whole number from {low} to {high}{suffix}"

    def parse(self, text: str) -> Result[int, str]:
        """Return the number."""
        if (
            not _DIGITS_PATTERN.fullmatch(text)
            or not self._low <= int(text) <= self._high
        ):
            return Error(self.expected)
        return Ok(int(text))


class Share(ValueType):
    """Accept a percentage up to 100% and return it as a fraction."""

    expected = "a percentage from 0% to 100%"

    def parse(self, text: str) -> Result[float, str]:
        """Return the fraction between 0 and 1."""
        match = _SHARE_PATTERN.fullmatch(text)
        if not match or Decimal(match[1]) > 100:
            return Error(self.expected)
        return Ok(float(Decimal(match[1]) / 100))

    def render(self, value: float) -> str:
        """Return the percentage of a fraction."""
        return render_share(value)


def render_share(value: float) -> str:
    """Return the percentage that parses to exactly this fraction."""
    return f"{(Decimal(repr(value)) * 100).normalize():f}%"


class ListOf(ValueType):
    """Accept values separated by commas, each at most once."""

    def __init__(self, item_type: ValueType) -> None:
        self._item_type = item_type
        self.expected = f"a list separated by commas, each item {item_type.expected}"

    def parse(self, text: str) -> Result[tuple, str]:
        """Return the values; blank text is an empty list."""
        items: list[object] = []
        if not text.strip():
            return Ok(())
        for part in text.split(","):
            result = self._item_type.parse(part.strip())
            if result.is_error():
                return Error(f"{result.error} instead of {part.strip()!r}")
            if result.ok in items:
                return Error(f"each item once, not {part.strip()!r} again")
            items.append(result.ok)
        return Ok(tuple(items))

    def render(self, value: tuple) -> str:
        """Return the items separated by commas."""
        return ", ".join(self._item_type.render(item) for item in value)


class AddressValue(ValueType):
    """Accept IPv4:port; nodes connect by IP address, so host names are rejected."""

    def __init__(self, any_interface: bool = False, any_port: bool = False) -> None:
        self._any_interface = any_interface
        self._lowest_port = 0 if any_port else 1
        interface = "" if any_interface else " of one interface, not 0.0.0.0"
        self.expected = (
            f"IP:port with an IPv4 address{interface}, "
            f"and a port from {self._lowest_port} to {MAX_PORT}"
        )

    def parse(self, text: str) -> Result[tuple[str, int], str]:
        """Return the address as (IP, port)."""
        host, colon, port = text.rpartition(":")
        if not colon or not _DIGITS_PATTERN.fullmatch(port):
            return Error(self.expected)
        if not self._lowest_port <= int(port) <= MAX_PORT:
            return Error(self.expected)
        try:
            ip_address = ipaddress.IPv4Address(host)
        except ValueError:
            return Error(self.expected)
        if ip_address.is_unspecified and not self._any_interface:
            return Error(self.expected)
        return Ok((str(ip_address), int(port)))

    def render(self, value: tuple[str, int]) -> str:
        """Return IP:port."""
        return f"{value[0]}:{value[1]}"


class FilePath(ValueType):
    """Accept the name of a file."""

    expected = "the name of a file"

    def parse(self, text: str) -> Result[Path, str]:
        """Return the path as given."""
        if not text or "\n" in text or "\0" in text:
            return Error(self.expected)
        return Ok(Path(text))
