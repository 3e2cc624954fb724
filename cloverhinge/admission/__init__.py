"""The door: who may come in, in which order, and what is quoted to those who may not yet.

May use core/ and decision/.  Must not know wires: fronts say who asks, and get verdicts through the core.
Loaded only where the site's file has a table [door].
"""
