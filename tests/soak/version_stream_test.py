#!/usr/bin/env python3
"""Streams over back ends of two software versions, against real gateways and storage nodes.

    version_stream_test.py --build build SCENARIO

The last line is JSON. Exit status 0: the scenario's limits held.
"""

import asyncio
import os
import re
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import soak
from backends import Backend
from callers import RESUMABLE
from direct_fleet import Fleet, RESTART_S, Scenario, new_parser, play_and_exit, read_options
from http_message import read_head, read_pieces, render, render_chunk
from promises import Attempt
from proxy import reset

VERSIONS = ["v1", "v2"]
ENGINES_LEFT = 2  # Of a version, at least.
MIXED_MAX = 2  # Streams that may hold events of two versions.
GOES_ON_SHARE = 0.5  # Of taken up streams, against the share of new ones that begin.
TAKEN_UP_MIN = 12  # Fewer say nothing of the share.
CALLERS, BREAK_SHARE, TRIES = 14, 0.25, 3
EVENTS, EVENT_PAUSE_S = 12, 0.015
END_PERIOD_S, KILL_PERIOD_S, GATEWAY_BACK_S = 0.45, 2.7, 1.0
BODY = b"stream"


class VersionBackend(Backend):
    """Names its version in each event."""

    version = None
    ended = False  # Its supervisor holds the port; the next process serves what waits there.

    def end_but_listener(self):
        self.ended = True
        for writer in list(self.connections):
            reset(writer)

    async def _serve(self, reader, writer):
        while self.ended:
            await asyncio.sleep(0.005)
        await super()._serve(reader, writer)

    async def _stream(self, request, attempt_id, fields, writer):
        if request.body != BODY:
            return await super()._stream(request, attempt_id, fields, writer)
        version = self.version  # Of the process that runs it.
        writer.write(render("HTTP/1.1 200 OK", fields + [("Transfer-Encoding", "chunked")]))
        for number in range(int(request.get("last-event-id", "0")) + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_PAUSE_S)
            event = f"id: {number}\ndata: {version} {self.instance}\n\n"
            writer.write(render_chunk(event.encode()))
            await writer.drain()
        writer.write(render_chunk(b""))
        return True


class VersionFleet(Fleet):
    """Engines of two versions."""

    next_version = 0

    def new_backend(self, instance, service):
        backend = VersionBackend(instance, service, service == "engine", self.random.random(),
                                 self.promises)
        if service == "engine":
            backend.version = VERSIONS[self.next_version % len(VERSIONS)]
            self.next_version += 1
            self.begin_life(backend)
        return backend

    def begin_life(self, backend):
        backend.born_ms = 0 if self.options.no_start_times else int(time.time() * 1000)

    def entry_fields(self, backend):
        if backend.version is None:
            return {}
        return {"version": backend.version, **backend.report()}

    async def replace(self, backend):
        self.next_version = VERSIONS.index(backend.version)
        await super().replace(backend)

    async def start_again(self, backend):
        """Under its id and address, as the other version."""
        self.begin_life(backend)
        backend.version = VERSIONS[1 - VERSIONS.index(backend.version)]
        await super().start_again(backend)
        self.write_entry(backend)

    async def start_again_supervised(self, backend):
        """The same, while the port accepts connections."""
        await asyncio.sleep(RESTART_S)
        self.begin_life(backend)
        backend.version = VERSIONS[1 - VERSIONS.index(backend.version)]
        backend.ended = False
        self.write_entry(backend)

    def crash(self, backend):
        if not self.options.supervised:
            super().crash(backend)
            return
        backend.end_but_listener()
        self.tasks.append(asyncio.ensure_future(self.start_again_supervised(backend)))

    def serving(self, version):
        return [backend for backend, _ in self.backends
                if backend.version == version and backend.server.is_serving() and
                not backend.ended]

    def end_one(self):
        """Ends an engine, of a version that keeps ENGINES_LEFT."""
        candidates = [backend for version in VERSIONS
                      for backend in self.serving(version)[ENGINES_LEFT:]]
        if candidates:
            self.crash(self.random.choice(candidates))


    def reset_some(self):
        engines = [backend for backend, _ in self.backends if backend.version is not None]
        count = max(1, round(self.options.reset_share * len(engines)))
        for backend in self.random.sample(engines, count):
            connections = sorted(backend.connections, key=id)
            for writer in self.random.sample(connections, len(connections) // 2):
                reset(writer)


class Stream:
    """What a client has of one stream, over its attempts."""

    def __init__(self):
        self.first_id = None
        self.last_event = 0
        self.versions = set()
        self.whole = False
        self.mixed_within = False
        self.pieces = []  # (attempt, version and back end) of events that follow one another.


class VersionScenario(Scenario):
    """Clients that break their connections and come back, while engines end."""

    new_fleet = VersionFleet

    def __init__(self, options):
        super().__init__(options)
        self.streams = []
        self.begun = [0, 0]  # New streams that began, and all of them.
        self.gone_on = [0, 0]  # Streams that were taken up and went on, and all of them.

    async def client(self):
        while self.running:
            stream = Stream()
            self.streams.append(stream)
            breaks = self.random.random() < BREAK_SHARE
            for attempt in range(TRIES):
                await self.attempt(stream, breaks and attempt == 0)
                if stream.whole:
                    break
                await asyncio.sleep(self.random.uniform(0.05, 0.3))

    async def attempt(self, stream, breaks):
        taken_up = stream.last_event > 0
        count = self.gone_on if taken_up else self.begun
        before = stream.last_event
        try:
            await self.exchange(stream, breaks)
        except (OSError, ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        count[0] += stream.last_event > before
        count[1] += 1

    async def exchange(self, stream, breaks):
        gateway = self.random.choice([node for node in self.cluster.gateways if node.running()])
        attempt_id = self.caller.new_id()
        self.promises.begin(Attempt(attempt_id, RESUMABLE, "POST", "/resumable/x", BODY, None))
        fields = [("Host", "soak.example"), ("Attempt-Id", attempt_id),
                  ("Deadline-Milliseconds", 4000), ("Content-Length", len(BODY))]
        if stream.last_event > 0:
            fields += [("Last-Event-Id", stream.last_event), ("Resumes", stream.first_id)]
        break_after = stream.last_event + self.random.randint(1, EVENTS - 2) if breaks else EVENTS
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.calls_port)
        try:
            writer.write(render("POST /resumable/x HTTP/1.1", fields, BODY))
            message = await asyncio.wait_for(read_head(reader), 5)
            if message is None or message.status != 200:
                return
            await self.read_events(reader, message, stream, attempt_id, break_after)
        finally:
            writer.close()

    async def read_events(self, reader, message, stream, attempt_id, break_after):
        versions = set()
        pending = b""
        async for piece in read_pieces(reader, message):
            pending += piece
            while b"\n\n" in pending:
                event, pending = pending.split(b"\n\n", 1)
                number, version = re.match(rb"id: (\d+)\ndata: (\w+) ", event).groups()
                if int(number) != stream.last_event + 1:
                    self.promises.break_promise("order", attempt_id, f"event {number}")
                stream.first_id = stream.first_id or attempt_id
                stream.last_event = int(number)
                piece = (attempt_id, event.split(b"data: ")[1].decode())
                if piece not in stream.pieces:
                    stream.pieces.append(piece)
                versions.add(version)
                stream.versions.add(version)
                stream.mixed_within |= len(versions) > 1
                if stream.last_event >= break_after and break_after < EVENTS:
                    return
        stream.whole = stream.last_event == EVENTS

    async def end_engines(self):
        while self.running:
            await asyncio.sleep(END_PERIOD_S)
            self.fleet.end_one()

    async def kill_gateways(self):
        number = 0
        while self.running:
            await asyncio.sleep(KILL_PERIOD_S - GATEWAY_BACK_S)
            node = self.cluster.gateways[number % len(self.cluster.gateways)]
            number += 1
            node.kill()
            await asyncio.sleep(GATEWAY_BACK_S)
            node.start()

    async def run_clients(self, *troubles):
        tasks = [asyncio.create_task(work()) for work in (self.end_engines, *troubles)]
        clients = [asyncio.create_task(self.client()) for _ in range(CALLERS)]
        await asyncio.sleep(self.options.seconds)
        self.running = False
        await asyncio.gather(*clients)
        for task in tasks:
            task.cancel()
        return self.judge()

    def judge(self):
        mixed = [stream for stream in self.streams if len(stream.versions) > 1]
        begun, gone_on = self.begun[0] / max(1, self.begun[1]), self.gone_on[0] / max(1, self.gone_on[1])
        enough = self.gone_on[1] < TAKEN_UP_MIN or gone_on >= GOES_ON_SHARE * begun
        for stream in mixed:
            print("mixed", stream.pieces, flush=True)
        return {"streams": len(self.streams), "mixed": len(mixed),
                "mixed_over_attempts": sum(not stream.mixed_within for stream in mixed),
                "whole": sum(stream.whole for stream in self.streams),
                "begun": self.begun, "gone_on": self.gone_on,
                "held": len(mixed) <= MIXED_MAX and (enough or not self.options.judge_share)}

    # Scenarios.

    async def quiet(self):
        return await self.run_clients()

    async def reset_connections(self):
        """Half of the connections to some engines, which live on, are reset each time."""
        self.fleet.end_one = self.fleet.reset_some
        return await self.run_clients()

    async def gateways_killed(self):
        return await self.run_clients(self.kill_gateways)

    async def stores_away(self):
        """Whoever began a stream can be asked by the same gateway only."""
        for store in self.cluster.stores:
            store.signal(signal.SIGSTOP)
        self.options.judge_share = False
        report = await self.run_clients(self.kill_gateways)
        for store in self.cluster.stores:
            store.signal(signal.SIGCONT)
        return report


def main():
    parser = new_parser(__doc__, "version-stream", ["quiet", "gateways_killed", "stores_away",
                                                  "reset_connections"])
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--supervised", action="store_true",
                        help="as --restart, and the port accepts connections meanwhile")
    parser.add_argument("--no-start-times", action="store_true",
                        help="engines do not tell when they started")
    parser.add_argument("--reset-share", type=float, default=0.1, help="of the engines")
    parser.set_defaults(engines=10, programs=0)
    options = read_options(parser)
    options.judge_share = True
    play_and_exit(VersionScenario, options)


if __name__ == "__main__":
    main()
