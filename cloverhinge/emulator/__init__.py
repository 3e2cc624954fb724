"""Simulates routers and the network between them, with faults, in virtual time from one seed.

Runs the product's I/O-free components unchanged.  Test tooling: the product never imports it.
"""
