"""Settings files of daemons: models, validation and error reports.

The scheduler daemon imports nothing but its own settings.
"""

from waxwingford._lazy import lazy_names

__all__, __getattr__ = lazy_names(
    __name__,
    {
        '_load': ('SettingsLoaded', 'load_settings', 'load_toml'),
        '_model': (
            'Identity',
            'IpAddress',
            'Leases',
            'Limits',
            'Listen',
            'Logging',
            'Millis',
            'Name',
            'PeerAddress',
            'Platform',
            'PublicKey',
            'ServiceUrl',
            'Settings',
            'Tls',
            'Trust',
        ),
        '_problem': ('Problem', 'SettingsInvalid'),
        '_problems': ('problems_from_error',),
        '_scheduler': (
            'SchedulerLogging',
            'SchedulerSettings',
            'is_scheduler_settings',
            'load_scheduler_settings',
        ),
        '_table': ('render_settings_page',),
        '_tls': ('Alpn', 'client_context', 'server_context'),
    },
)
