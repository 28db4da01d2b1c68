"""INI texts checked against a table of options, with all findings at once."""

import collections.abc
import configparser
import re
from typing import Any

import attrs


@attrs.frozen
class Finding:
    """One problem in a text, with its place."""

    source: str
    line: int
    section: str
    key: str
    message: str

    def __str__(self) -> str:
        place = f"{self.source}:{self.line}"
        name = f"[{self.section}] {self.key}".strip()
        return f"{place}: {name}: {self.message}"


@attrs.frozen
class Option:
    """One documented key of a section.

    Attributes:
        key: The name of the key.
        parse: Turns the text into a value; raises ValueError with a reason.
        default: The text used when the key is absent; None makes it required.
        doc: What the value means, with its unit.
    """

    key: str
    parse: collections.abc.Callable[[str], Any]
    default: str | None
    doc: str


@attrs.define
class Section:
    """The keys of one section of a parsed text."""

    name: str
    line: int
    values: dict[str, str]
    lines: dict[str, int]


@attrs.define
class Text:
    """A parsed INI text with line numbers and the findings so far."""

    source: str
    sections: dict[str, Section]
    findings: list[Finding]

    def add(self, section: str, key: str, message: str) -> None:
        """Records a finding at the line of the key or its section."""
        found = self.sections.get(section)
        line = found.lines.get(key, found.line) if found else 1
        self.findings.append(Finding(self.source, line, section, key, message))


_HEADER = re.compile(r"\s*\[(?P<name>[^\]]+)\]")
_KEY = re.compile(r"(?P<key>[^\s=:#;][^=:]*?)\s*[=:]")


def parse_text(text: str, source: str) -> Text:
    """Parses an INI text; syntax errors become findings."""
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    result = Text(source, {}, [])
    try:
        parser.read_string(text, source)
    except configparser.ParsingError as error:
        for line, content in error.errors:
            message = f"is not an INI line: {content.strip()}"
            result.findings.append(Finding(source, line, "", "", message))
        return result
    except configparser.Error as error:
        line = getattr(error, "lineno", None) or 1
        message = error.message.splitlines()[0]
        result.findings.append(Finding(source, line, "", "", message))
        return result
    for name in parser.sections():
        values = dict(parser.items(name))
        result.sections[name] = Section(name, 1, values, {})
    _index_lines(text, result)
    return result


def _index_lines(text: str, result: Text) -> None:
    """Notes the line of each section and key; configparser keeps none."""
    section = None
    for number, line in enumerate(text.splitlines(), start=1):
        header = _HEADER.match(line)
        key = _KEY.match(line)
        if header:
            section = result.sections.get(header["name"])
            if section:
                section.line = number
        elif key and section:
            section.lines.setdefault(key["key"].lower(), number)


def read_section(
    text: Text,
    name: str,
    options: collections.abc.Iterable[Option],
) -> dict[str, Any]:
    """Reads one section by its table of options.

    Returns:
        The parsed value for each key; keys with findings are absent.
    """
    section = text.sections.get(name)
    given = dict(section.values) if section else {}
    values = {}
    for option in options:
        raw = given.pop(option.key, option.default)
        if raw is None:
            text.add(name, option.key, "is required")
            continue
        try:
            values[option.key] = option.parse(raw)
        except ValueError as error:
            text.add(name, option.key, str(error))
    for key in given:
        text.add(name, key, "is not a known key")
    return values


def integer(low: int, high: int) -> collections.abc.Callable[[str], int]:
    """Returns a parser of whole numbers within the bounds, inclusive."""

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
    """Returns a parser of numbers within the bounds, inclusive."""

    def parse(raw: str) -> float:
        try:
            value = float(raw)
        except ValueError:
            raise ValueError(f"must be a number, not {raw!r}") from None
        if not low <= value <= high:
            raise ValueError(f"must be from {low:g} to {high:g}, not {value}")
        return value

    return parse


def boolean(raw: str) -> bool:
    """Parses yes/no, true/false, on/off."""
    states = configparser.ConfigParser.BOOLEAN_STATES
    if raw.lower() not in states:
        raise ValueError(f"must be yes or no, not {raw!r}")
    return states[raw.lower()]


def string(raw: str) -> str:
    """Accepts any text."""
    return raw


def words(raw: str) -> tuple[str, ...]:
    """Parses a list separated by commas or white space."""
    return tuple(part for part in re.split(r"[,\s]+", raw) if part)


def name(raw: str) -> str:
    """Parses a non-empty name of letters, digits, dots and dashes."""
    if not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}", raw):
        raise ValueError(f"must be letters, digits, '.', '_', '-': {raw!r}")
    return raw


def choice(*allowed: str) -> collections.abc.Callable[[str], str]:
    """Returns a parser that accepts only the given words."""

    def parse(raw: str) -> str:
        if raw not in allowed:
            raise ValueError(f"must be one of {', '.join(allowed)}: {raw!r}")
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
