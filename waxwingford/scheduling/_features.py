"""Parts of the scheduler that the settings of a deployment switch on."""

from typing import NamedTuple

#: Time for which a task may be away before its absence counts as an interruption,
#: unless it is configured, in ms. A shorter time is stricter, so that the default
#: also holds where more is allowed.
DEFAULT_NOTICE_MS = 4500


class Features(NamedTuple):
    """Optional decisions of an engine; all of them are off by default.

    :ivar admission: refuse jobs that the servers have no room for in time.
    :ivar preemption: stop runs of lower priority for tasks that wait.
    :ivar copies: start second runs of stragglers where their step permits it.
    :ivar look_ahead: place with regard to what waits and what will end soon.
    :ivar notice_ms: time for which a task may be away before its absence counts as an
        interruption, in ms.
    """

    admission: bool = False
    preemption: bool = False
    copies: bool = False
    look_ahead: bool = False
    notice_ms: int = DEFAULT_NOTICE_MS


NO_FEATURES = Features()
