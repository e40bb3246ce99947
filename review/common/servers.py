"""Model servers that answer turns with a short stream, as PROTOCOL.md says; they note what they run."""

import asyncio
import time

import cluster as shared
from http_message import read_request, render, render_answer, render_chunk

EVENTS = 3
EVENT_PAUSE_S = 0.004
SLOTS = 12


def event_data(attempt_id, number):
    return f"{attempt_id}.{number}"


class Server:
    """One server; its entry is in the platform's store, with a heartbeat."""

    def __init__(self, cluster, name, zone):
        self.cluster = cluster
        self.instance = f"i-{name}"
        self.zone = zone
        self.running = 0
        self.most_running = 0
        self.runs = {}  # Attempt id: the request's body as this server got it.
        self.run_at = {}
        self.sequence = 0
        self.held_until = 0.0  # No stream is ended before this time (of time.monotonic()).
        self.born = int(time.time() * 1000)

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self._write_entry()
        self.heart = asyncio.create_task(self._beat())

    def _write_entry(self):
        self.sequence += 1
        self.cluster.platform.put(f"servers/{self.instance}", {
            "service": "agent-models", "address": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": "v1", "slots": SLOTS, "state": "ready", "cold-remaining-ms": 0,
            "sequence": self.sequence, "born": self.born,
        })

    async def _beat(self):
        while True:
            await asyncio.sleep(shared.HEARTBEAT_S)
            self._write_entry()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                await self._handle(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, request, writer):
        attempt_id = request.get("attempt-id", "-")
        fields = [("Attempt-Id", attempt_id)]
        if request.target == "/health":
            writer.write(render_answer(200, fields + [("Instance-Id", self.instance)]))
            return
        if request.get("expect-instance") not in (None, self.instance):
            writer.write(render_answer(421, fields + [("Not-Executed", 1)]))
            return
        if self.running >= SLOTS:
            writer.write(render_answer(503, fields + [("Not-Executed", 1)]))
            return
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        self.runs[attempt_id] = request.body
        self.run_at[attempt_id] = time.monotonic()
        text = request.body.decode()
        shown = repr(text) if len(text) < 400 else f"{len(text)} bytes"
        self.cluster.record.note("run", attempt_id, "at", self.instance, f"body={shown}")
        try:
            await self._stream(attempt_id, fields, writer)
        finally:
            self.running -= 1

    async def _stream(self, attempt_id, fields, writer):
        signature = ("Response-Signature", f"{self.instance}.{attempt_id}")
        fields = fields + [signature, ("Weight-Versions", 1), ("Content-Type", "text/event-stream"),
                           ("Transfer-Encoding", "chunked")]
        writer.write(render("HTTP/1.1 200 OK", fields))
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_PAUSE_S)
            event = f"id: {number}\ndata: {event_data(attempt_id, number)}\n\n"
            writer.write(render_chunk(event.encode()))
            await writer.drain()
        await asyncio.sleep(max(0.0, self.held_until - time.monotonic()))
        writer.write(render_chunk(b""))


async def start_servers(cluster, count):
    servers = [Server(cluster, f"{number:04x}", shared.ZONES[number % len(shared.ZONES)])
               for number in range(count)]
    for server in servers:
        await server.start()
    return servers
