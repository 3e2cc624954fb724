"""Which routers are alive, agreed by all that can reach each other, and the small record that each publishes.

Decisions (`core.py`, `table.py`, `watch.py`) are free of I/O; `transport.py` holds the sockets.  May use
core/ and site/'s model; must not know who builds on it (custody, failover), nor viewers, boxes and titles.
"""
