"""What outlives a restart: rows in a folder, and the proof that nothing of them is missing.

It may touch its folder and the clock.  It must not know what the rows mean, nor who asks: custody is above.
This face is pure; whoever opens a folder takes `store.folder` and `store.writer`, which need apsw.
"""

from cloverhinge.store.proof import NO_MARK, Judge, Mark, StoreVerdict, Witness

__all__ = ["NO_MARK", "Judge", "Mark", "Witness", "StoreVerdict"]
