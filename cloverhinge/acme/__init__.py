"""Certificates by ACME (RFC 8555) with http-01 challenges; renewed before they expire, without a restart."""
