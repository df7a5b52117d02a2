"""Request and response bodies of the platform stand-in's admin interface."""

import msgspec

from waxwingford_standins.platform_log import Outage


class PlatformFault(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /fault``; omitted fields keep their values.

    :ivar outage: outage of the log: ``none``, ``refuse`` or ``hang``.
    :ivar slow_ms: delay of each response of the log, in milliseconds.
    :ivar lost_share: fraction of appends that take effect but are not
        acknowledged.
    :ivar list_outage: whether reads of the VM list fail.
    :ivar list_lag_ms: staleness of the VM list, in milliseconds.
    """

    outage: Outage | None = None
    slow_ms: int | None = None
    lost_share: float | None = None
    list_outage: bool | None = None
    list_lag_ms: int | None = None


class PlatformCounts(msgspec.Struct):
    """Body of ``GET /audit``.

    :ivar appends: number of appended entries.
    :ivar appended_bytes: total size of their payloads, in bytes.
    :ivar refused: number of refused appends.
    :ivar reads: number of successful reads.
    :ivar read_bytes: total size of the read responses, in bytes.
    """

    appends: int = 0
    appended_bytes: int = 0
    refused: int = 0
    reads: int = 0
    read_bytes: int = 0
