"""Parses INI texts against tables of options and collects all findings."""

import collections.abc
import configparser
import re
from typing import Any

import attrs


@attrs.frozen
class Finding:
    """One problem in a text, with its location.

    Attributes:
        source: File name or other origin of the text.
        line: Line number, counted from 1.
        section: The section; empty if the text does not parse.
        key: The key; empty if the finding is about a whole section or line.
        message: What is wrong, worded to follow the name of the key.
    """

    source: str
    line: int
    section: str
    key: str
    message: str

    def __str__(self) -> str:
        location = f"{self.source}:{self.line}"
        name = f"[{self.section}] {self.key}".strip()
        return f"{location}: {name}: {self.message}"


@attrs.frozen
class Option:
    """One key that a section may have.

    Attributes:
        key: The name of the key.
        parse: Converts the text to a value; raises ValueError with a reason.
        default: The text used when the key is absent; None makes it required.
        doc: What the value means, with its unit.
    """

    key: str
    parse: collections.abc.Callable[[str], Any]
    default: str | None
    doc: str


@attrs.define
class Section:
    """One section of a parsed text.

    Attributes:
        name: Name of the section.
        line: Line number of its header.
        values: Text of each value, by key.
        lines: Line number of each key.
    """

    name: str
    line: int
    values: dict[str, str]
    lines: dict[str, int]


@attrs.define
class ParsedText:
    """A parsed INI text with line numbers and the findings so far.

    Attributes:
        source: File name or other origin of the text, for findings.
        sections: The sections by name.
        findings: The findings so far.
    """

    source: str
    sections: dict[str, Section]
    findings: list[Finding]

    def add_finding(self, section: str, key: str, message: str) -> None:
        """Adds a finding at the line of the key, else of its section."""
        target = self.sections.get(section)
        line = target.lines.get(key, target.line) if target else 1
        self.findings.append(Finding(self.source, line, section, key, message))


_SECTION_PATTERN = re.compile(r"\s*\[(?P<name>[^\]]+)\]")
_KEY_PATTERN = re.compile(r"(?P<key>[^\s=:#;][^=:]*?)\s*[=:]")


def parse_text(text: str, source: str) -> ParsedText:
    """Parses an INI text and records its syntax errors as findings."""
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    parsed = ParsedText(source, {}, [])
    try:
        parser.read_string(text, source)
    except configparser.MissingSectionHeaderError as error:
        message = f"is before the first section: {error.line.strip()}"
        parsed.findings.append(Finding(source, error.lineno, "", "", message))
        return parsed
    except configparser.ParsingError as error:
        for line, content in error.errors:
            message = f"is not an INI line: {content.strip()}"
            parsed.findings.append(Finding(source, line, "", "", message))
        return parsed
    except configparser.Error as error:
        line = getattr(error, "lineno", None) or 1
        message = error.message.splitlines()[0]
        parsed.findings.append(Finding(source, line, "", "", message))
        return parsed
    for name in parser.sections():
        values = dict(parser.items(name))
        parsed.sections[name] = Section(name, 1, values, {})
    _record_line_numbers(text, parsed)
    return parsed


def _record_line_numbers(text: str, parsed: ParsedText) -> None:
    """Records the line of each section and key; configparser keeps none."""
    section = None
    for number, line in enumerate(text.splitlines(), start=1):
        section_match = _SECTION_PATTERN.match(line)
        key_match = _KEY_PATTERN.match(line)
        if section_match:
            section = parsed.sections.get(section_match["name"])
            if section:
                section.line = number
        elif key_match and section:
            section.lines.setdefault(key_match["key"].lower(), number)


def read_section(
    parsed: ParsedText,
    name: str,
    options: collections.abc.Iterable[Option],
) -> dict[str, Any]:
    """Parses the values of one section and adds a finding for each error.

    Args:
        parsed: The text; the findings are added to it.
        name: Name of the section; a missing one is read as empty.
        options: The keys that the section may have.

    Returns:
        The parsed value for each key; keys with findings are absent.
    """
    section = parsed.sections.get(name)
    unread_values = dict(section.values) if section else {}
    values = {}
    for option in options:
        raw = unread_values.pop(option.key, option.default)
        if raw is None:
            parsed.add_finding(name, option.key, "is required")
            continue
        try:
            values[option.key] = option.parse(raw)
        except ValueError as error:
            parsed.add_finding(name, option.key, str(error))
    for key in unread_values:
        parsed.add_finding(name, key, "is not a known key")
    return values


def integer(low: int, high: int) -> collections.abc.Callable[[str], int]:
    """Returns a parser of whole numbers from `low` to `high`, inclusive."""

    def parse(raw: str) -> int:
        try:
            value = int(raw)
        except ValueError:
            raise ValueError(f"must be a whole number, not {raw!r}") from None
        if not low <= value <= high:
            raise ValueError(f"must be from {low} to {high}, not {value}")
        return value

    return parse


def number(low: float, high: float) -> collections.abc.Callable[[str], float]:
    """Returns a parser of numbers from `low` to `high`, inclusive."""

    def parse(raw: str) -> float:
        try:
            value = float(raw)
        except ValueError:
            raise ValueError(f"must be a number, not {raw!r}") from None
        if not low <= value <= high:
            raise ValueError(f"must be from {low:g} to {high:g}, not {value}")
        return value

    return parse


def optional(
    parse: collections.abc.Callable[[str], Any],
) -> collections.abc.Callable[[str], Any]:
    """Returns a parser that reads an empty text as None."""
    return lambda raw: parse(raw) if raw else None


def boolean(raw: str) -> bool:
    """Parses yes/no, true/false, on/off or 1/0."""
    states = configparser.ConfigParser.BOOLEAN_STATES
    if raw.lower() not in states:
        raise ValueError(f"must be yes or no, not {raw!r}")
    return states[raw.lower()]


def string(raw: str) -> str:
    """Returns the text unchanged."""
    return raw


def words(raw: str) -> tuple[str, ...]:
    """Parses a list separated by commas or white space."""
    return tuple(part for part in re.split(r"[,\s]+", raw) if part)


def name(raw: str) -> str:
    """Parses a name of 1 to 63 letters, digits, dots, dashes, underscores.

    The first character is a letter or digit.
    """
    if not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}", raw):
        raise ValueError(f"must be letters, digits, '.', '_', '-': {raw!r}")
    return raw


def choice(*allowed: str) -> collections.abc.Callable[[str], str]:
    """Returns a parser that accepts only the given words."""

    def parse(raw: str) -> str:
        if raw not in allowed:
            raise ValueError(
                f"must be one of {', '.join(allowed)}, not {raw!r}"
            )
        return raw

    return parse


def address(raw: str) -> tuple[str, int]:
    """Parses `IP:port`; the port may be 0 to let the system choose."""
    host, separator, port = raw.rpartition(":")
    if not separator or not host:
        raise ValueError(f"must be IP:port, not {raw!r}")
    return host.strip("[]"), integer(0, 65535)(port)


def addresses(raw: str) -> tuple[tuple[str, int], ...]:
    """Parses a list of `IP:port`."""
    return tuple(address(part) for part in words(raw))
