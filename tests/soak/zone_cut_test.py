#!/usr/bin/env python3
"""A cut of a zone harms the connections that cross it, and no other; after it all pass again."""

import asyncio
import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from proxy import Proxy
from zone_cut import ZoneCut

PATIENCE_S = 0.3


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
        self.assertEqual(await self.ask(connection), b"x")
        return connection

    async def open(self, proxy):
        connection = await asyncio.open_connection("127.0.0.1", proxy.listen_port)
        self.open_ends.append(connection[1])
        return connection

    async def asyncTearDown(self):
        for end in self.open_ends:
            end.close()
        await asyncio.sleep(PATIENCE_S)

    @staticmethod
    async def ask(connection):
        """The byte that comes back; b"" if the connection is reset, None if nothing comes."""
        reader, writer = connection
        try:
            writer.write(b"x")
            return await asyncio.wait_for(reader.read(1), PATIENCE_S)
        except asyncio.TimeoutError:
            return None
        except ConnectionError:
            return b""

    async def ask_anew(self, proxy):
        return await self.ask(await self.open(proxy))

    async def play(self, cut, proxy, during):
        connection = await self.connect(proxy)
        proxy.set_cut(cut)
        self.assertEqual(await self.ask(connection), during)
        self.assertEqual(await self.ask_anew(proxy), during)
        proxy.set_cut(None)
        self.assertEqual(await self.ask(connection), b"" if during != b"x" else b"x")
        self.assertEqual(await self.ask_anew(proxy), b"x")

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
