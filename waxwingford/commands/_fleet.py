"""Fleet file and options: the daemons, log and keys that a command uses."""

import pathlib
from argparse import ArgumentParser, Namespace

from pydantic import BaseModel, ConfigDict

from waxwingford.commands._command import ExitCode
from waxwingford.commands._output import print_error
from waxwingford.settings import Name, PublicKey, ServiceUrl, load_toml


class FleetTrust(BaseModel):
    """Public keys of the members, as in the settings of a daemon.

    :ivar public_key_by_member: Ed25519 public key by member.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    public_key_by_member: dict[Name, PublicKey] = {}


class Fleet(BaseModel):
    """Content of a fleet file.

    :ivar daemons: HTTP addresses of the daemons as ``ADDRESS:PORT``, with IP
        addresses.
    :ivar log_url: URL of the platform's log.
    :ivar trust: public keys of the members.
    :ivar authority_file: CA certificate for verification of the daemons;
        empty for plain HTTP.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    daemons: tuple[str, ...] = ()
    log_url: ServiceUrl | None = None
    trust: FleetTrust = FleetTrust()
    authority_file: str = ''


def add_fleet_options(parser: ArgumentParser) -> None:
    """Add the options that name the daemons and the log."""
    parser.add_argument('--fleet', metavar='FILE', help='fleet file, TOML')
    parser.add_argument(
        '--daemons',
        metavar='ADDRESS:PORT,...',
        help='HTTP addresses of daemons, overriding the fleet file',
    )
    parser.add_argument(
        '--log',
        metavar='URL',
        help="URL of the platform's log, overriding the fleet file",
    )


def load_fleet(args: Namespace) -> Fleet | ExitCode:
    """Load the fleet file and apply the options that override it.

    :returns: the fleet, or the exit code after problems were printed.
    """
    fleet = Fleet()
    if args.fleet:
        loaded = load_toml(pathlib.Path(args.fleet), Fleet)
        if not isinstance(loaded, Fleet):
            print_error('\n'.join(map(str, loaded)))
            return ExitCode.usage
        fleet = loaded
    overrides = {}
    if args.daemons:
        overrides['daemons'] = tuple(args.daemons.split(','))
    if args.log:
        overrides['log_url'] = args.log
    return fleet.model_copy(update=overrides)


def require_fields(fleet: Fleet, *keys: str) -> bool:
    """Check that a fleet has the fields a command needs, or print an error.

    :param keys: names of the fields that must not be empty.
    :returns: whether all of them are set.
    """
    missing = [key for key in keys if not getattr(fleet, key)]
    if missing:
        print_error(
            f'missing: {", ".join(missing)}; give --fleet FILE, '
            '--daemons or --log'
        )
    return not missing
