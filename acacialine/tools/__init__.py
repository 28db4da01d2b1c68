"""Helper programs: stand-ins, fault proxy, checker, demo and bench."""
