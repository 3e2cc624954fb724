"""Certificates by ACME (RFC 8555): http-01, renewal in time, swapped live."""
