"""Admission: which set-up requests are admitted, in which order, and when the others may return.

May use core/ and decision/.  Independent of protocols: the front ends identify the client of a request, and
verdicts reach them through the core.  Loaded only where the site file has a table [door].
"""
