"""cloverhinge: a stream router for small sites."""

__version__ = "0.1.0"
