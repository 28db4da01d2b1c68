"""A dispatcher for sub-second tasks between callers and backend servers."""

__version__ = "0.1.0"
