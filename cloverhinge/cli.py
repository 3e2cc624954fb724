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
  serve    Run the router.  LB_CONFIG names its configuration file, LB_LISTEN the address to listen on.
  check    Read a configuration (that of LB_CONFIG, unless named) and report what is wrong with it.
  console  Show a running router's sessions, media servers, counters and certificate, read from the
           admin socket that the site file names.
  members  Show which routers are members, as a running router sees them.
  custody  Show where a play (or a session over RTSP) is, who owns it and who owned it before.
  version  Print the version.

Options:
  --site FILE  The site's own file, which turns the HLS front on.  [default: deploy/site.toml]
               The default may be missing: then only the platform's front runs.
  --once       Print one view and exit.
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
    """Run a command with these arguments, by default those of the process, and return the exit status.

    It is 0 on success, 1 if the router could not start, and 2 for an invalid configuration.
    """
    options = docopt(__doc__ or "", argv=arguments)
    if options["version"]:
        print(f"cloverhinge {__version__}")
        return 0
    if options["serve"]:  # a SIGHUP stays pending until the router has started
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        if options["console"] or options["members"] or options["custody"]:
            admin = site.read(Path(options["--site"])).admin
            if admin is None:
                raise ConfigError(f"{options['--site']} names no admin socket")
            if options["members"]:
                return console.show_members(admin)
            if options["custody"]:
                return console.show_ownership(admin, options["PLAY"])
            return console.show_status(admin, options["--once"])
        node_config = config.read(options["CONFIG"]) if options["CONFIG"] else config.from_environment()
        path = Path(options["--site"])
        node_site = site.read(path) if path.exists() or options["--site"] != DEFAULT_SITE else site.Site()
    except (ConfigError, console.ConsoleError) as error:
        print(f"cloverhinge: {error}", file=sys.stderr)
        return 2
    if options["check"]:
        servers = {server.name for update in node_config.initial_updates for server, _ in update.rows}
        print(
            f"{node_config.name or 'unnamed'}: {len(node_config.settings.classes)} classes, "
            f"{len(servers)} boxes named, listening on {node_config.listen[0]}:{node_config.listen[1]}"
        )
        print(
            "HLS front: off"
            if node_site.hls is None
            else f"HLS front: on {node_site.hls.listen[0]}:{node_site.hls.listen[1]}, "
            f"{len(node_site.hls.titles)} titles"
        )
        print(
            "members: off"
            if node_site.members is None
            else f"members: site {node_site.members.site}, {len(node_site.members.join)} addresses to join"
        )
        print(
            "custody: off"
            if node_site.ownership is None
            else f"custody: {node_site.ownership.routers} routers, "
            f"{node_site.ownership.tolerated_losses} may be lost at once, "
            f"without keepers it {'serves' if node_site.ownership.serve_unreplicated else 'refuses'}"
        )
        print(
            "door: off"
            if node_site.admission is None
            else f"door: {len(node_site.admission.clients) - 1} clients named, "
            f"{node_site.admission.max_waiting} may wait"
        )
        return 0
    if node_site.members is not None and not node_config.name:
        print("cloverhinge: members: the configuration gives this router no name", file=sys.stderr)
        return 2
    from cloverhinge.node import serve  # imports Twisted's reactor, which the other commands don't need

    return serve(node_config, node_site)
