"""Reproducible measurements, one command each; they are part neither of the product nor of CI."""
