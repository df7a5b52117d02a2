"""Periodic exchange of held servers and their load between batch and routing."""

import asyncio

from waxwingford.daemon._components import Components

_MS_IN_S = 1000
SYNC_INTERVAL_MS = 500
#: Weight of the newest sample in the moving average of busy shares.
_SMOOTHING_FACTOR = 0.5
#: Decimal digits of a busy share: smaller changes cause no new scheduling view.
_SHARE_DIGITS = 1


async def sync_batch_and_dispatcher(components: Components) -> None:
    """Periodically pass held servers to routing and busy shares to batch.

    Runs until cancelled.  Stale servers are harmless, since the dispatcher
    checks each lease at dispatch.  Busy shares let batch react to load earlier
    than usage samples.  ``set_servers`` is called even without changes: the
    dispatcher takes a long gap between calls as a stall of the process.
    """
    busy_by_server: dict[str, float] = {}
    while True:
        components.dispatcher.set_servers(components.batch.held_servers())
        busy_by_server = smooth_busy_shares(
            busy_by_server, components.dispatcher.busy_share_by_server()
        )
        components.batch.set_busy_shares(
            {
                server_id: round(share, _SHARE_DIGITS)
                for server_id, share in busy_by_server.items()
            }
        )
        await asyncio.sleep(SYNC_INTERVAL_MS / _MS_IN_S)


def smooth_busy_shares(
    averages: dict[str, float], current: dict[str, float]
) -> dict[str, float]:
    """Update the exponential moving averages of busy shares.

    :param averages: previous averages by server, 0 to 1.
    :param current: current busy shares by server, 0 to 1.
    :returns: new averages of the servers in ``current``.
    """
    return {
        server_id: share
        + (averages.get(server_id, share) - share) * (1 - _SMOOTHING_FACTOR)
        for server_id, share in current.items()
    }
