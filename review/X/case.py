"""Servers crash and start again under their id with another software version while the platform's store
is down; then other servers crash under running streams. See claim.txt."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

import cluster as shared
from http_message import read_head, read_pieces, render, render_chunk
from proxy import reset
from servers import Server

GATEWAYS = 3
SERVERS = 11  # As in the site file.
CRASHED = 3  # Of 11 at a time: srv_crash with a share of .27; .15 is usual.
DOWN_S = 0.4  # A crashed server is back after this.
STORE_DOWN_S = 4.5  # platform_down, as in the site file.
STREAMS = 40
EVENTS, EVENT_PAUSE_S = 12, 0.06
DEADLINE_MS = 4000
GAP_S = 2.0
MIXED_MOST = 2  # "More than two streams hold events from servers of two software versions".


class StreamServer(Server):
    """Names its software version in each event."""

    version = "v1"

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.connections = set()

    def entry(self):
        return {**super().entry(), "version": self.version}

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self.connections.discard(writer)

    async def _handle(self, request, writer):
        self.last_event = int(request.get("last-event-id", "0"))
        await super()._handle(request, writer)

    async def _stream(self, attempt_id, fields, writer):
        version, first = self.version, self.last_event + 1
        signature = ("Response-Signature", f"{self.instance}.{attempt_id}")
        writer.write(render("HTTP/1.1 200 OK", fields + [
            signature, ("Weight-Versions", 1), ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked")]))
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_PAUSE_S)
            event = f"id: {number}\ndata: {version} {self.instance}\n\n"
            writer.write(render_chunk(event.encode()))
            await writer.drain()
        writer.write(render_chunk(b""))

    async def crash_and_return(self, version):
        """All connections are reset; a new process serves at the address, under the same id."""
        self.cluster.record.note("crash", self.instance)
        self.server.close()
        for writer in list(self.connections):
            reset(writer)
        await asyncio.sleep(DOWN_S)
        self.version = version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.cluster.record.note("start", self.instance, version)
        self.write_entry()


class Stream:
    """One request of a client, over its tries."""

    def __init__(self):
        self.versions = set()
        self.last_event = 0
        self.first_attempt = None  # The one that brought the first event.
        self.whole = False


class Case:
    def __init__(self, record):
        self.record = record
        self.cluster = shared.Cluster(record, seed=4)
        self.streams = []
        self.running = True

    async def client(self):
        while self.running:
            stream = Stream()
            self.streams.append(stream)
            program = f"{self.cluster.random.getrandbits(32):08x}"
            for _ in range(2):  # One retry.
                await self.attempt(stream, program)
                if stream.whole:
                    break

    async def attempt(self, stream, program):
        gateway = self.cluster.random.choice(self.cluster.gateways)
        attempt_id = f"{self.cluster.random.getrandbits(64):016x}"
        body = f"stream of {program}\n".encode()
        fields = [
            ("Host", shared.HOST), ("Attempt-Id", attempt_id), ("Model", "m"),
            ("Program-Id", program), ("Session-Id", program), ("Program-Deadline", 20000),
            ("Token-Budget", 10000), ("Token-Counts", "100,288"),
            ("Prompt-Prefix", f"5c1e07a2:50,{program}:50"), ("Deadline-Milliseconds", DEADLINE_MS),
            ("Content-Length", len(body))]
        if stream.last_event > 0:
            fields += [("Last-Event-Id", stream.last_event), ("Resumes", stream.first_attempt)]
        self.record.note("sent", attempt_id, gateway.name, f"after={stream.last_event}")
        status, writer = 0, None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*gateway.calls), 1.0)
            writer.write(render("POST /builder/x HTTP/1.1", fields, body))
            message = await asyncio.wait_for(read_head(reader), GAP_S)
            status = message.status if message is not None else 0
            if status == 200:
                await self.read_events(reader, message, stream, attempt_id)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self.record.note("answer", attempt_id, status, "whole" if stream.whole else "not whole",
                         f"events={stream.last_event}", "versions=" + "+".join(sorted(stream.versions)))
        if not stream.whole:
            await asyncio.sleep(0.1)

    async def read_events(self, reader, message, stream, attempt_id):
        pieces = read_pieces(reader, message)
        text = b""
        while True:
            try:
                piece = await asyncio.wait_for(pieces.__anext__(), GAP_S)
            except StopAsyncIteration:
                break
            text += piece
            while b"\n\n" in text:
                event, text = text.split(b"\n\n", 1)
                number, data = event.decode().split("\n")
                stream.last_event = int(number.split(": ")[1])
                stream.versions.add(data.split(" ")[1])
                stream.first_attempt = stream.first_attempt or attempt_id
        stream.whole = stream.last_event == EVENTS

    async def trouble(self, servers, doors):
        first, second, third = (servers[i:i + CRASHED] for i in range(0, 3 * CRASHED, CRASHED))
        for door in doors:
            door.set_state("refuse")
        self.cluster.platform_down = True
        self.record.note("the platform's store is down")
        await asyncio.sleep(0.5)
        await asyncio.gather(*(server.crash_and_return("v2") for server in first))
        await asyncio.sleep(1.0)
        await asyncio.gather(*(server.crash_and_return("v1") for server in second))
        await asyncio.sleep(0.6)
        await asyncio.gather(*(server.crash_and_return("v1") for server in third))
        await asyncio.sleep(0.6)
        self.cluster.platform_down = False
        for door in doors:
            door.set_state("pass")
        for server in servers:
            server.write_entry()
        self.record.note("the platform's store is back")

    async def play(self):
        cluster = self.cluster
        servers = [StreamServer(cluster, f"{number:04x}", shared.ZONES[number % 3])
                   for number in range(SERVERS)]
        for server in servers:
            await server.start()
        await cluster.start_platform()
        cluster.add_machines(GATEWAYS)
        doors = [await cluster.door(machine) for machine in cluster.machines]
        cluster.start_machines()
        await asyncio.sleep(10.0)
        clients = [asyncio.create_task(self.client()) for _ in range(STREAMS)]
        await asyncio.sleep(4.0)
        if shared.trouble():
            await self.trouble(servers, doors)
        else:
            await asyncio.sleep(STORE_DOWN_S)
        await asyncio.sleep(3.0)
        self.running = False
        await asyncio.gather(*clients)
        mixed = sum(len(stream.versions) > 1 for stream in self.streams)
        whole = sum(stream.whole for stream in self.streams)
        detail = (f"{mixed} of {len(self.streams)} streams hold events of two software versions, at most "
                  f"{MIXED_MOST} may; {whole} were whole")
        if whole < len(self.streams) / 2:
            raise shared.CannotRun(detail)
        return mixed > MIXED_MOST, detail


if __name__ == "__main__":
    shared.run_case(FOLDER, Case)
