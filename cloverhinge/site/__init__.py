"""The site's configuration: its file under deploy/, with one table for each component that it turns on.

May use core/.  Must not import the components that it configures: they take the settings in `model.py`.
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
    """Read a site's file; raises ConfigError with one sentence on what is wrong."""
    from cloverhinge.site import (
        schema,
    )  # imported here, as msgspec is loaded only where there is a file to read

    return schema.read(path)
