"""Relays: daemons that carry out orders and polls for the owner of a shard."""

from waxwingford.relays._client import RelayingClient
from waxwingford.relays._demand import LoadSample, RelayDemand
from waxwingford.relays._pool import RelayPool
from waxwingford.relays._relay import Relay

__all__ = ('LoadSample', 'Relay', 'RelayDemand', 'RelayPool', 'RelayingClient')
