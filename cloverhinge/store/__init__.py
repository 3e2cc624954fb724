"""Rows that survive a restart, in a folder, and the check that none of them are missing.

May use its folder and the clock.  Must not know what the rows mean, nor who uses them: ownership/ is above.
What is exported here is pure; a folder is opened by `store.folder` and `store.writer`, which need apsw.
"""

from cloverhinge.store.proof import NO_MARK, Judge, Mark, StoreVerdict, Witness

__all__ = ["NO_MARK", "Judge", "Mark", "Witness", "StoreVerdict"]
