"""Which daemons, log and keys a command works with."""

import pathlib
from argparse import ArgumentParser, Namespace

from pydantic import BaseModel, ConfigDict

from waxwingford.commands._command import ExitCode
from waxwingford.commands._output import complain
from waxwingford.settings import Name, PublicKey, ServiceUrl, load_toml


class FleetTrust(BaseModel):
    """Public keys of the members, as in a daemon's settings."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    public_key_by_member: dict[Name, PublicKey] = {}


class Fleet(BaseModel):
    """File of a fleet.

    :ivar daemons: ``ADDRESS:PORT`` of HTTP, by IP number.
    :ivar log_url: platform's log.
    :ivar trust: members' public keys.
    :ivar authority_file: certificates of daemons are checked against it;
        empty for plain HTTP.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    daemons: tuple[str, ...] = ()
    log_url: ServiceUrl | None = None
    trust: FleetTrust = FleetTrust()
    authority_file: str = ''


def add_fleet(parser: ArgumentParser) -> None:
    """Declare the options that name the fleet.

    :param parser: of a command that reaches daemons or the log.
    """
    parser.add_argument('--fleet', metavar='FILE', help='TOML file of a fleet')
    parser.add_argument(
        '--daemons',
        metavar='ADDRESS:PORT,...',
        help='HTTP addresses of daemons, instead of those in the file',
    )
    parser.add_argument(
        '--log', metavar='URL', help="platform's log, instead of the file's"
    )


def fleet_of(args: Namespace) -> Fleet | ExitCode:
    """Put the fleet together from file and options.

    :param args: parsed arguments.
    :returns: the fleet, or the exit code after the problems were printed.
    """
    fleet = Fleet()
    if args.fleet:
        loaded = load_toml(pathlib.Path(args.fleet), Fleet)
        if not isinstance(loaded, Fleet):
            complain('\n'.join(map(str, loaded)))
            return ExitCode.usage
        fleet = loaded
    changes = {}
    if args.daemons:
        changes['daemons'] = tuple(args.daemons.split(','))
    if args.log:
        changes['log_url'] = args.log
    return fleet.model_copy(update=changes)


def wanted(fleet: Fleet, *keys: str) -> bool:
    """Check that a fleet says what a command needs, and complain if not.

    :param fleet: the fleet.
    :param keys: keys that must not be empty.
    :returns: whether all are there.
    """
    missing = [key for key in keys if not getattr(fleet, key)]
    if missing:
        complain(
            f'missing: {", ".join(missing)}; give --fleet FILE, '
            '--daemons or --log'
        )
    return not missing
