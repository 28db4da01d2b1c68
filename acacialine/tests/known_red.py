"""Tells whether all failures of a test run stand in KNOWN-RED.txt.

    python -m acacialine.tests.known_red LOG

LOG is what unittest printed. Tests are listed in KNOWN-RED.txt on lines that
begin with `test:`; only these are passed over, and they are printed.
"""

import pathlib
import re
import sys

KNOWN_RED = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"


def failures(log: str) -> set[str]:
    """Returns the full names of the tests that failed."""
    return set(re.findall(r"^(?:FAIL|ERROR): \w+ \(([\w.]+)\)", log, re.M))


def listed(text: str) -> set[str]:
    """Returns the full names of the tests that may fail."""
    return set(re.findall(r"^\s*test: ([\w.]+)$", text, re.M))


def main(path: str) -> int:
    """Returns 0 if the run ended and only listed tests failed."""
    log = pathlib.Path(path).read_text(errors="replace")
    failed = failures(log)
    ended = re.search(r"^Ran \d+ tests? in ", log, re.M)
    unlisted = failed - listed(KNOWN_RED.read_text())
    for name in sorted(failed):
        word = "NOT LISTED" if name in unlisted else "known red"
        print(f"{word}: {name}")
    return 0 if ended and failed and not unlisted else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
