#!/usr/bin/env python3
"""A cut of a zone harms the connections that cross it, and no other; after it all pass again."""

import asyncio
import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from proxy import Proxy
from zone_cut import ZoneCut

SILENCE_S = 0.3  # Without a byte: nothing comes.
PATIENCE_S = 10.0  # For a byte that must come: the kernel's table of connections may be long.


class OwnProcess:
    """This process, as a node of zone za."""

    zone = "za"
    process = type("Process", (), {"pid": os.getpid()})

    @staticmethod
    def running():
        return True


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


class ZoneCutTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = await asyncio.start_server(echo, "127.0.0.1", 0)
        self.open_ends = [self.server]
        self.target = self.server.sockets[0].getsockname()[1]

    async def connect(self, proxy):
        """A connection through the proxy, over which a byte has come back."""
        await proxy.start()
        self.open_ends.append(proxy.server)
        proxy.listen_port = proxy.server.sockets[0].getsockname()[1]
        connection = await self.open(proxy)
        await self.expect(connection, b"x")
        return connection

    async def open(self, proxy):
        connection = await asyncio.open_connection("127.0.0.1", proxy.listen_port)
        self.open_ends.append(connection[1])
        return connection

    async def asyncTearDown(self):
        for end in self.open_ends:
            end.close()
        await asyncio.sleep(SILENCE_S)

    async def expect(self, connection, expected):
        """The byte comes back, or b"" as the connection is reset, or nothing for None."""
        reader, writer = connection
        try:
            writer.write(b"x")
            patience = SILENCE_S if expected is None else PATIENCE_S
            answer = await asyncio.wait_for(reader.read(1), patience)
        except asyncio.TimeoutError:
            answer = None
        except ConnectionError:
            answer = b""
        self.assertEqual(answer, expected)

    async def expect_anew(self, proxy, expected):
        await self.expect(await self.open(proxy), expected)

    async def play(self, cut, proxy, during):
        connection = await self.connect(proxy)
        proxy.set_cut(cut)
        await self.expect(connection, during)
        await self.expect_anew(proxy, during)
        proxy.set_cut(None)
        await self.expect(connection, b"" if during != b"x" else b"x")
        await self.expect_anew(proxy, b"x")

    async def test_what_crosses_the_cut_is_held_or_reset(self):
        for zone in ("za", "zb"):
            for silent, during in ((True, None), (False, b"")):
                cut = ZoneCut(zone, silent, [OwnProcess])
                await self.play(cut, Proxy("p", 0, self.target, far_zone="zb"), during)

    async def test_the_key_value_service_is_away_for_the_zone_that_is_cut_off(self):
        cut = ZoneCut("za", True, [OwnProcess])
        await self.play(cut, Proxy("p", 0, self.target, near_zone="za"), None)
        await self.play(cut, Proxy("p", 0, self.target, near_zone="zb"), b"x")

    async def test_within_a_zone_all_passes(self):
        for zone in ("za", "zc"):
            cut = ZoneCut(zone, True, [OwnProcess])
            await self.play(cut, Proxy("p", 0, self.target, far_zone="za"), b"x")


if __name__ == "__main__":
    unittest.main()
