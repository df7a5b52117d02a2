"""Interfaces to external systems: log, VM list and backend servers.

Modules are imported when a name of them is first used.
"""

from waxwingford._lazy import lazy_names

__all__, __getattr__ = lazy_names(
    __name__,
    {
        '_directory': (
            'DirectoryPort',
            'Resources',
            'Vm',
            'VmList',
            'VmListUnavailable',
            'VmState',
        ),
        '_log': (
            'Appended',
            'AppendOutcome',
            'AppendOutcomeUnknown',
            'AppendRefused',
            'LogEntry',
            'LogPort',
            'LogRead',
            'LogUnavailable',
            'ReadOutcome',
        ),
        '_servers': (
            'AttemptKey',
            'AttemptPhase',
            'AttemptReport',
            'BackendServerPort',
            'CheckpointTask',
            'ControlDenied',
            'ControlGranted',
            'ControlOutcome',
            'ControlOutcomeUnknown',
            'ControlRequest',
            'ForgetTask',
            'ServerCommand',
            'StartTask',
            'StopTask',
            'ThrottleTask',
            'UsageSample',
        ),
        '_services': (
            'ServiceAnswer',
            'ServiceCall',
            'ServiceNotRun',
            'ServiceOutcome',
            'ServiceOutcomeUnknown',
        ),
        '_vectors': (
            'add_resources',
            'fits_resources',
            'subtract_resources',
        ),
    },
)
