"""Operation of a router: operator commands, metrics, maintenance mode of media servers, upgrade overlap.

May use core/ and the connection classes of net/.  Must not import the front ends, members/ or ownership/.
`command_server.py`, `maintenance_file.py`, `instance_files.py` and `component.py` do the I/O; the other
modules only decide.  Loaded only if the configuration has `mgmt` or the listener is inherited.
"""
