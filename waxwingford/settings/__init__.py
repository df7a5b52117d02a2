"""Settings files of daemons: models, validation and error reports."""

from waxwingford.settings._load import (
    SettingsInvalid,
    SettingsLoaded,
    is_scheduler_settings,
    load_scheduler_settings,
    load_settings,
    load_toml,
)
from waxwingford.settings._model import (
    Identity,
    IpAddress,
    Leases,
    Limits,
    Listen,
    Logging,
    Millis,
    Name,
    PeerAddress,
    Platform,
    PublicKey,
    ServiceUrl,
    Settings,
    Tls,
    Trust,
)
from waxwingford.settings._problems import Problem, problems_from_error
from waxwingford.settings._scheduler import SchedulerSettings
from waxwingford.settings._table import render_settings_page
from waxwingford.settings._tls import Alpn, client_context, server_context

__all__ = (
    'Alpn',
    'Identity',
    'IpAddress',
    'Leases',
    'Limits',
    'Listen',
    'SettingsLoaded',
    'Logging',
    'Millis',
    'Name',
    'PeerAddress',
    'Platform',
    'Problem',
    'PublicKey',
    'SchedulerSettings',
    'ServiceUrl',
    'Settings',
    'SettingsInvalid',
    'Tls',
    'Trust',
    'client_context',
    'is_scheduler_settings',
    'load_scheduler_settings',
    'load_settings',
    'load_toml',
    'problems_from_error',
    'server_context',
    'render_settings_page',
)
