"""ravenridge: the decisions of a streaming session controller."""

from ravenridge.logic import Controller

__all__ = ["Controller"]
