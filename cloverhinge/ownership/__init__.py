"""Sessions that survive the failure of their router: ownership, replication, and take-over once.

May use core/, members/ and store/; the fronts reach it through `OwnershipComponent` and provide a
`FrontAdapter`.  Must not know any front's protocol.  `component.py` connects it to the rest of the router and
`replica_store.py` opens the folder; all else is free of I/O.
"""
