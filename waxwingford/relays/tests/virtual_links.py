"""Connections between daemons in virtual time, with a delay and cuts."""

import asyncio

DELAY_S = 0.002


class VirtualTransport:
    """One end of a connection."""

    def __init__(self, network, own_id, peer_id):
        self.network = network
        self.ends = own_id, peer_id
        self.peer = None
        self.protocol = None
        self.closed = False
        self.sent_bytes = 0

    def attach(self, peer, protocol):
        self.peer = peer
        self.protocol = protocol
        protocol.connection_made(self)

    def write(self, data):
        self.sent_bytes += len(data)
        self.network.deliver(self, data)

    def abort(self):
        if not self.closed:
            self.close_end(None)
            self.network.later(self.ends, self.peer.close_end, None)

    def close_end(self, error):
        if not self.closed:
            self.closed = True
            loop = asyncio.get_running_loop()
            loop.call_soon(self.protocol.connection_lost, error)

    def get_extra_info(self, name):
        """Tell nothing: there is no socket."""

    def get_write_buffer_size(self):
        return 0


class VirtualNetwork:
    """Connects daemons by their ids.

    :ivar cut: pairs of daemons between which bytes are held back.
    """

    def __init__(self):
        self.cut = set()
        self.factory_by_endpoint = {}
        self.transports = []
        self._held = []

    def listen(self, endpoint, factory):
        self.factory_by_endpoint[endpoint] = factory

    def connector(self, own_id):
        async def connect(factory, host, port):
            await asyncio.sleep(DELAY_S)
            accept = self.factory_by_endpoint.get(f'{host}:{port}')
            if accept is None:
                raise ConnectionRefusedError('no listener')
            if self.is_cut((own_id, host)):
                await asyncio.get_running_loop().create_future()
            near = VirtualTransport(self, own_id, host)
            far = VirtualTransport(self, host, own_id)
            near.attach(far, factory())
            far.attach(near, accept())
            self.transports += (near, far)
            return near, near.protocol

        return connect

    def is_cut(self, ends):
        return frozenset(ends) in self.cut

    def deliver(self, transport, data):
        peer = transport.peer

        def arrive():
            if not peer.closed:
                peer.protocol.data_received(data)

        self.later(transport.ends, arrive)

    def later(self, ends, callback, *args):
        if self.is_cut(ends):
            self._held.append((callback, args))
            return
        asyncio.get_running_loop().call_later(DELAY_S, callback, *args)

    def reset(self, daemon_id):
        """Close all connections of a daemon, which listens no more."""
        for endpoint in tuple(self.factory_by_endpoint):
            if endpoint.startswith(f'{daemon_id}:'):
                self.factory_by_endpoint.pop(endpoint)
        for transport in self.transports:
            if daemon_id in transport.ends:
                transport.close_end(None)
        self.transports = [
            transport for transport in self.transports if not transport.closed
        ]

    def heal(self):
        self.cut.clear()
        for callback, args in self._held:
            asyncio.get_running_loop().call_later(DELAY_S, callback, *args)
        self._held = []
