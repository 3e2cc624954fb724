"""Runs real router processes on loopback against fake peers, with injected network and process faults.

Test tooling: the product never imports it.  It may import all of the product and `emulator/`.
"""
