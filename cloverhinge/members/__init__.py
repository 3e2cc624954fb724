"""Membership: the routers agree on which of them are alive, and each publishes a small record of facts.

The protocol logic (`core.py`, `table.py`, `watch.py`) does no I/O; `transport.py` owns the sockets.  This
package may import core/ and the model of site/.  It must not depend on the packages built on it (ownership,
failover) nor on clients, media servers and titles.
"""
