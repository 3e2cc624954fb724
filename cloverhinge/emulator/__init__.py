"""A model of routers, the network between them and its faults, in virtual time from one seed.

Runs the product's pure parts as they are.  A tool beside the product, which never imports it.
"""
