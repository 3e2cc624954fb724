"""A stream router for small sites.

Usage:
  cloverhinge serve
  cloverhinge check [CONFIG]
  cloverhinge version
  cloverhinge (-h | --help)

Commands:
  serve    Run the router.  LB_CONFIG names its configuration, LB_LISTEN where it listens.
  check    Read a configuration (that of LB_CONFIG, unless named) and say what is wrong with it.
  version  Print the version.
"""

from __future__ import annotations

import sys

from docopt import docopt

from cloverhinge import __version__, config


def main(arguments: list[str] | None = None) -> int:
    chosen = docopt(__doc__ or "", argv=arguments)
    if chosen["version"]:
        print(f"cloverhinge {__version__}")
        return 0
    try:
        told = config.read(chosen["CONFIG"]) if chosen["CONFIG"] else config.from_environment()
    except config.ConfigError as error:
        print(f"cloverhinge: {error}", file=sys.stderr)
        return 2
    if chosen["check"]:
        boxes = {box.name for change in told.known for box, _ in change.rows}
        print(f"{told.name or 'unnamed'}: {len(told.settings.classes)} classes, {len(boxes)} boxes named, "
              f"listening on {told.listen[0]}:{told.listen[1]}")
        return 0
    from cloverhinge.node import serve  # starts Twisted's reactor, which the other commands don't need

    return serve(told)
