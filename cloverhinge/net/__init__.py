"""Connections with one buffer each, for every wire of the platform."""
