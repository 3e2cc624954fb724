"""Buffered TCP connections, shared by all protocols of the platform."""
