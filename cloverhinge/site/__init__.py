"""Our own configuration: the site's file under deploy/, and one schema for each subsystem's table.

May use core/.  Must not know the parts that it configures: they take what `model.py` holds.
"""

from __future__ import annotations

from pathlib import Path

from cloverhinge.site.model import (
    AcmeSettings,
    AdmissionSettings,
    ClientSettings,
    HlsSettings,
    MembersSettings,
    OwnershipSettings,
    Site,
    StoreSettings,
    Title,
)

__all__ = [
    "AcmeSettings",
    "ClientSettings",
    "OwnershipSettings",
    "AdmissionSettings",
    "HlsSettings",
    "MembersSettings",
    "Site",
    "StoreSettings",
    "Title",
    "read",
]


def read(path: Path) -> Site:
    """The site that a file describes; ConfigError in one plain sentence where it can't be."""
    from cloverhinge.site import schema  # its library is loaded only where there is a file to read

    return schema.read(path)
