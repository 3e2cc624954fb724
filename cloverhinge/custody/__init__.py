"""Who owns which piece of work, its keepers, and take-over once: leases and epochs.

Decisions (`register.py`) are free of I/O.  Builds on members/; must not know boxes' wires nor failover/.
"""
