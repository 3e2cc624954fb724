"""Work in hand that outlives its router: who owns each piece, who keeps copies, take-over once.

May use core/ and members/; the fronts reach it through `Part` and bring their own side as a `Wire`.  Must not
know any front's protocol.  `component.py` is the thin module; all else is free of I/O.
"""
