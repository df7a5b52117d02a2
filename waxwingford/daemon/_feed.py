"""What batch and routing tell each other: held servers, and how busy they are."""

import asyncio

from waxwingford.daemon._parts import Parts

_MS_IN_S = 1000
#: Both are told this often, in milliseconds.
FEED_EVERY_MS = 500
#: Weight of the newest count of busy slots: a mean over about a second.
_BUSY_WEIGHT = 0.5
#: Digits of a share that is told: a smaller change is not worth a new view.
_SHARE_DIGITS = 1


async def feed_routing(parts: Parts) -> None:
    """Hand held servers to the request dispatcher, and busy shares back, for ever.

    The dispatcher may work with a copy that is half a second old: it checks each
    lease at dispatch.  Batch needs the present load, not that of the last usage
    sample, or it would react to a shift of load as late as samples lag.  The
    dispatcher takes each call as a sign of life of the process: a gap of two seconds
    counts as a stall, so it must come also when nothing changed.

    :param parts: of the daemon.
    """
    busy_by_server: dict[str, float] = {}
    while True:
        parts.dispatcher.set_servers(parts.batch.held_servers())
        busy_by_server = mean_busy(
            busy_by_server, parts.dispatcher.busy_share_by_server()
        )
        parts.batch.set_busy_shares(
            {
                server_id: round(share, _SHARE_DIGITS)
                for server_id, share in busy_by_server.items()
            }
        )
        await asyncio.sleep(FEED_EVERY_MS / _MS_IN_S)


def mean_busy(
    before: dict[str, float], now: dict[str, float]
) -> dict[str, float]:
    """Average busy shares over about a second.

    :param before: averages so far, by server.
    :param now: busy shares now, by server.
    :returns: new averages; of the servers that are held now only.
    """
    return {
        server_id: share
        + (before.get(server_id, share) - share) * (1 - _BUSY_WEIGHT)
        for server_id, share in now.items()
    }
