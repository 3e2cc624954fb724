"""Operation: what the staff do by hand and read: calls, figures, boxes left out, a new version.

May use core/ and net/'s lines.  Must not know fronts, members or custody.  `command_server.py`,
`maintenance_file.py` and `component.py` have the I/O; all else decides.  Loaded only where `mgmt` or an
inherited listener is told.
"""
