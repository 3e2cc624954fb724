"""A stream router for small sites.

Usage:
  cloverhinge serve [--site FILE]
  cloverhinge check [CONFIG] [--site FILE]
  cloverhinge console [--once] [--site FILE]
  cloverhinge members [--site FILE]
  cloverhinge custody PLAY [--site FILE]
  cloverhinge version
  cloverhinge (-h | --help)

Commands:
  serve    Run the router.  LB_CONFIG names its configuration, LB_LISTEN where it listens.
  check    Read a configuration (that of LB_CONFIG, unless named) and say what is wrong with it.
  console  Show a running router's sessions, boxes, counters and certificate, at the admin socket
           that the site file names.
  members  Show which routers are members, as a running router sees them.
  custody  Tell where a play (or a session over RTSP) is, who owns it and who did before.
  version  Print the version.

Options:
  --site FILE  The site's own file, which turns the HLS front on.  [default: deploy/site.toml]
               The default may be missing: then the platform's front stands alone.
  --once       Print one view and end.
  -h --help    Show this text.
"""

from __future__ import annotations

import signal
import sys
from pathlib import Path

from docopt import docopt

from cloverhinge import __version__, config, site
from cloverhinge.core.config_values import ConfigError
from cloverhinge.operations import console

DEFAULT_SITE = "deploy/site.toml"


def main(arguments: list[str] | None = None) -> int:
    chosen = docopt(__doc__ or "", argv=arguments)
    if chosen["version"]:
        print(f"cloverhinge {__version__}")
        return 0
    if chosen["serve"]:  # a SIGHUP that comes before the router stands waits until it does
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        if chosen["console"] or chosen["members"] or chosen["custody"]:
            admin = site.read(Path(chosen["--site"])).admin
            if admin is None:
                raise ConfigError(f"{chosen['--site']} names no admin socket")
            if chosen["members"]:
                return console.show_members(admin)
            if chosen["custody"]:
                return console.show_ownership(admin, chosen["PLAY"])
            return console.show_status(admin, chosen["--once"])
        told = config.read(chosen["CONFIG"]) if chosen["CONFIG"] else config.from_environment()
        path = Path(chosen["--site"])
        around = site.read(path) if path.exists() or chosen["--site"] != DEFAULT_SITE else site.Site()
    except (ConfigError, console.ConsoleError) as error:
        print(f"cloverhinge: {error}", file=sys.stderr)
        return 2
    if chosen["check"]:
        boxes = {box.name for change in told.initial_updates for box, _ in change.rows}
        print(
            f"{told.name or 'unnamed'}: {len(told.settings.classes)} classes, {len(boxes)} boxes named, "
            f"listening on {told.listen[0]}:{told.listen[1]}"
        )
        print(
            "HLS front: off"
            if around.hls is None
            else f"HLS front: on {around.hls.listen[0]}:{around.hls.listen[1]}, "
            f"{len(around.hls.titles)} titles"
        )
        print(
            "members: off"
            if around.members is None
            else f"members: site {around.members.site}, {len(around.members.join)} addresses to join"
        )
        print(
            "custody: off"
            if around.ownership is None
            else f"custody: {around.ownership.routers} routers, "
            f"{around.ownership.tolerated_losses} may be lost at once, "
            f"without keepers it {'serves' if around.ownership.serve_unreplicated else 'refuses'}"
        )
        print(
            "door: off"
            if around.admission is None
            else f"door: {len(around.admission.clients) - 1} clients named, "
            f"{around.admission.max_waiting} may wait"
        )
        return 0
    if around.members is not None and not told.name:
        print("cloverhinge: members: the configuration gives this router no name", file=sys.stderr)
        return 2
    from cloverhinge.node import serve  # starts Twisted's reactor, which the other commands don't need

    return serve(told, around)
