"""A TCP proxy on loopback that harms what passes through it.

One proxy stands on each link of the soak: from a gateway to a back end, from a process to the
key-value service, from any node to a storage node. Its state says what happens to bytes now:

    pass      bytes go through
    delay     bytes go through later
    silence   nothing goes through in either direction; new connections are taken and hang
    one_way   nothing goes from the far end back to the near end
    refuse    new connections are reset

When a state ends that held bytes back, the connections that it harmed are reset, as after a cut.
Beside the state, a cut of a zone (zone_cut.py) harms just the connections that cross it.
"""

import asyncio
import socket
import struct

CHUNK_BYTES = 65536
RESET = struct.pack("ii", 1, 0)  # SO_LINGER with no time: closing resets the connection.


def reset(writer):
    """Closes a connection with a reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None:
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        except OSError:
            pass
    writer.transport.abort()


class Proxy:
    """Listens on one port and passes each connection on to another."""

    def __init__(self, name, listen_port, target_port, near_zone=None, far_zone=None):
        self.near_zone = near_zone  # None: of the process that connects.
        self.far_zone = far_zone  # None: it stands in no zone.
        self.cut = None
        self.severed = set()  # Pairs that cross a silent cut.
        self.name = name
        self.listen_port = listen_port
        self.target_port = target_port
        self.state = "pass"
        self.delay_s = 0.0
        self.pairs = set()
        self.server = None
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.listen_port)

    def set_state(self, state, delay_s=0.0):
        """Begins a state; leaving one that held bytes back resets the connections."""
        held = self.state in ("silence", "one_way")
        self.state = state
        self.delay_s = delay_s
        self.changed.set()
        self.changed = asyncio.Event()
        if held:
            self.reset_all()

    def reset_all(self):
        self._reset_pairs(self.pairs)

    @staticmethod
    def _reset_pairs(pairs):
        for pair in list(pairs):
            for writer in pair:
                reset(writer)

    def set_cut(self, cut, connections=None):
        """Begins the cut of a zone, or ends it (None)."""
        self.cut = cut
        self._reset_pairs(self.severed)
        self.severed.clear()
        for pair in list(self.pairs):
            self._sever(pair, connections)
        self.changed.set()
        self.changed = asyncio.Event()

    def _sever(self, pair, connections=None):
        if self.cut is None or not self.cut.crosses(pair[0], self, connections):
            return
        if self.cut.silent:
            self.severed.add(pair)
        else:
            self._reset_pairs([pair])

    async def _admitted(self, writer):
        """Waits while new connections hang; False if this one is to be reset."""
        while True:
            crosses = self.cut is not None and self.cut.crosses(writer, self)
            if self.state == "refuse" or (crosses and not self.cut.silent):
                return False
            if self.state != "silence" and not crosses:
                return True
            await self.changed.wait()

    async def _serve(self, reader, writer):
        if not await self._admitted(writer):
            reset(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            reset(writer)
            return
        pair = (writer, far_writer)
        self.pairs.add(pair)
        self._sever(pair)
        try:
            await asyncio.gather(
                self._pump(reader, pair, False), self._pump(far_reader, pair, True)
            )
        finally:
            self.pairs.discard(pair)
            self.severed.discard(pair)
            writer.close()
            far_writer.close()

    def _held(self, pair, backwards):
        return (
            self.state == "silence"
            or (self.state == "one_way" and backwards)
            or pair in self.severed
        )

    async def _pump(self, reader, pair, backwards):
        writer = pair[0] if backwards else pair[1]
        try:
            while True:
                while self._held(pair, backwards):
                    await self.changed.wait()
                data = await reader.read(CHUNK_BYTES)
                while self._held(pair, backwards):
                    await self.changed.wait()
                if self.delay_s > 0:
                    await asyncio.sleep(self.delay_s)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            writer.close()
        except (OSError, ConnectionError):
            reset(writer)
            # The near side learns of it too.
            self._reset_pairs([pair])
