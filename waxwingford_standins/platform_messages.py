"""Bodies of the platform stand-in's administration."""

import msgspec

from waxwingford_standins.platform_log import Outage


class PlatformFault(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /fault``; fields left out stay as they are.

    :ivar outage: ``none``, ``refuse`` or ``hang``, of the log.
    :ivar slow_ms: delay before each answer of the log, in milliseconds.
    :ivar lost_share: share of appends whose answer is lost afterwards.
    :ivar list_outage: whether the list is out of service.
    :ivar list_lag_ms: age of what the list shows, in milliseconds.
    """

    outage: Outage | None = None
    slow_ms: int | None = None
    lost_share: float | None = None
    list_outage: bool | None = None
    list_lag_ms: int | None = None


class PlatformCounts(msgspec.Struct):
    """Body of ``GET /audit``.

    :ivar appends: appends that are in the log.
    :ivar appended_bytes: their payloads together.
    :ivar refused: appends refused.
    :ivar reads: reads answered.
    :ivar read_bytes: bytes of their answers.
    """

    appends: int = 0
    appended_bytes: int = 0
    refused: int = 0
    reads: int = 0
    read_bytes: int = 0
