"""Callers that send one request after another on the same connection, as long as it lasts."""

import asyncio
import random
import socket
import time

from callers import BUDGET, MOST_TOKENS, PATIENCE_S, RESUMABLE, SAFE, UNSAFE, Caller, Result
from promises import ConnectionEnd

RECEIVE_BYTES = 65536
CHECK_S = 0.02
CONNECT_S = 1.0
ROUTES = [SAFE, SAFE, UNSAFE, RESUMABLE]


class LoopLag:
    """How late this process's own loop was: what it saw of a connection came as late."""

    def __init__(self):
        self.late = []  # (time, seconds)

    async def watch(self):
        while True:
            due_at = time.monotonic() + CHECK_S
            await asyncio.sleep(CHECK_S)
            late_s = time.monotonic() - due_at
            if late_s > CHECK_S:
                self.late.append((time.monotonic(), late_s))

    def most(self, since, until):
        return max((late_s for at, late_s in self.late if at >= since and at - late_s <= until),
                   default=0.0)


class KeptCaller(Caller):
    """Keeps a connection to a gateway until it ends or its end is announced."""

    def __init__(self, cluster, lag, seed, keys, large):
        super().__init__(cluster.promises, cluster.gateways, seed, keys, large)
        self.random = random.Random(f"kept {seed}")
        self.cluster = cluster
        self.lag = lag
        self.connections = 0
        self.requests = 0

    async def run(self, goes_on):
        while goes_on():
            try:
                await self._use_connection(self.random.choice(self.gateways), goes_on)
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(self.random.uniform(0.02, 0.3))

    async def _use_connection(self, gateway, goes_on):
        incarnation = gateway.incarnation
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        connection.setblocking(False)
        address = ("127.0.0.1", gateway.calls_port)
        await asyncio.wait_for(
            asyncio.get_running_loop().sock_connect(connection, address), CONNECT_S)
        reader, writer = await asyncio.open_connection(sock=connection, limit=RECEIVE_BYTES)
        self.connections += 1
        try:
            while goes_on() and await self._send(gateway.name, incarnation, reader, writer):
                await asyncio.sleep(self.random.uniform(0.0, 0.2))
        finally:
            writer.close()

    async def _send(self, gateway, incarnation, reader, writer):
        """One request; True if the connection goes on."""
        program = self.new_id()
        self.promises.budgets[program] = (BUDGET, MOST_TOKENS)
        attempt, body = self._begin(self.random.choice(ROUTES), b"order", program, None, "free")
        result = Result()
        self.requests += 1
        begun_at = time.monotonic()
        try:
            await asyncio.wait_for(
                self._request(reader, writer, attempt, body, None, result), PATIENCE_S)
        except asyncio.TimeoutError:
            result.left = True
        except (OSError, ConnectionError, asyncio.IncompleteReadError):
            result.whole = False
        self._note_result(attempt, result)
        if not result.whole and not result.left:
            ended_at = time.monotonic()
            self.promises.judge_end(attempt, ConnectionEnd(
                incarnation, gateway, begun_at, result.sent_at, ended_at,
                self.lag.most(begun_at, ended_at), self.cluster.stops.get(incarnation),
                self.cluster.grace_s), self.cluster.strikes)
        return result.whole and not result.closes
