#!/usr/bin/env python3
"""Callers that keep within no limit, against a real gateway and storage nodes on loopback.

    hostile_callers_test.py --build build SCENARIO

Each scenario is a crowd that makes the gateway hold as much as it can. The last line is JSON. Exit
status 0: no process ended, none exceeded the memory of its machine or kept descriptors, a refused
request was not run, and ordinary requests were answered beside the crowd and afterwards.
"""

import asyncio
import hashlib
import os
import re
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import direct_fleet
from backends import Backend
from callers import SAFE, TURN
from direct_fleet import Fleet, Scenario, new_parser, play_and_exit, read_options
from http_message import read_head, read_pieces, render, render_chunk

MEGABYTE = 1024 * 1024
GATEWAY_MEMORY_MB, STORE_MEMORY_MB = 48, 64  # Of small machines.
BODY_LIMIT = MEGABYTE
JUST_BELOW = BODY_LIMIT - 1024
CROWD, LARGE_CROWD = 100, 200
PLAY_S = 6.0
PAUSE_S = 0.05  # Before a caller that was turned away comes back.
SLOW_RATE = 2000  # Bytes a second that a slow reader takes.
SLOW_BUFFER_BYTES = 16384  # Of the socket of a slow reader, so that the gateway's side fills.
ANSWER_BYTES, STREAM_BYTES, EVENT_BYTES = 8 * MEGABYTE, 12 * MEGABYTE, 65536
WORK_S = 2.0
TURN_BYTES = 900_000
RETENTION_S = 600
CHAIN_TURNS = 6
LONG_ID_BYTES = 7000  # Two of them fit into the limit on heads.
DESCRIPTORS_KEPT = 64  # More than before the crowd, once it has gone: connections to back ends.
DESCRIPTOR_LIMIT = 400
HELD_AT_REST_BYTES = MEGABYTE  # In a gateway's account besides cached turns: resting connections.
REST_S = 25.0  # Idle connections are closed by then.
ORDINARY_TRIES = 40
NOT_RUN = {408, 413, 421, 429, 431, 503}
HOSTILE = "hostile"  # How ids of the crowd's requests begin.
SAMPLE_S = 0.02


def fields_of(attempt_id, extra):
    return [("Host", "soak.example"), ("Attempt-Id", attempt_id), ("Deadline-Milliseconds", 9000),
            *extra]


def rss_mb(pid, name="VmRSS"):
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        return int(re.search(name + r":\s+(\d+) kB", file.read()).group(1)) / 1024


def waiting_mb(port):
    """What waits to be read in the sockets of a port, in MB: it is memory of the machine, too."""
    total = 0
    with open("/proc/net/tcp", encoding="utf-8") as file:
        next(file)
        for line in file:
            columns = line.split()
            if columns[1].endswith(f":{port:04X}") and columns[3] != "0A":
                total += int(columns[4].split(":")[1], 16)
    return total / MEGABYTE


class Watch(threading.Thread):
    """Samples what a process holds, with what waits in its sockets, until it is stopped."""

    def __init__(self, node):
        super().__init__(daemon=True)
        self.node = node
        self.pid = node.process.pid
        self.port = node.calls_port
        self.peak_mb = self.waiting_mb = 0.0
        self.descriptors = 0
        self.stopped = threading.Event()

    def run(self):
        try:
            while not self.stopped.wait(SAMPLE_S):
                waiting = waiting_mb(self.port) if self.node.kind == "gateway" else 0.0
                self.waiting_mb = max(self.waiting_mb, waiting)
                self.peak_mb = max(self.peak_mb, rss_mb(self.pid) + waiting,
                                   rss_mb(self.pid, "VmHWM"))
                self.descriptors = max(self.descriptors, self.count_descriptors())
        except (OSError, AttributeError):
            pass  # The process has ended, which is told of its own.

    def count_descriptors(self):
        return len(os.listdir(f"/proc/{self.pid}/fd"))


class HostileBackend(Backend):
    """Answers the crowd as its paths ask; notes what ran."""

    ran = set()
    wrong_bodies = []

    async def _handle(self, request, writer):
        attempt_id = request.get("attempt-id", "-")
        if not attempt_id.startswith(HOSTILE):
            return await super()._handle(request, writer)
        self.ran.add(attempt_id)
        digest = request.get("x-digest")
        if digest is not None and digest != hashlib.sha256(request.body).hexdigest():
            self.wrong_bodies.append(attempt_id)
        fields = [("Attempt-Id", attempt_id), ("Response-Signature", "s")]
        if "late" in request.target:
            await asyncio.sleep(WORK_S)
        if self.engine:
            return await self._send_events(request, fields, writer)
        size = ANSWER_BYTES if "large" in request.target else 16
        writer.write(render("HTTP/1.1 200 OK", fields + [("Content-Length", size)], b"a" * size))
        await writer.drain()
        return True

    async def _send_events(self, request, fields, writer):
        fields = fields + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        writer.write(render("HTTP/1.1 200 OK", fields))
        count, size = (STREAM_BYTES // EVENT_BYTES, EVENT_BYTES) if "large" in request.target else (3, 8)
        for number in range(1, count + 1):
            writer.write(render_chunk(b"id: %d\ndata: %s\n\n" % (number, b"a" * size)))
            await writer.drain()
        writer.write(render_chunk(b""))
        return True


class HostileFleet(Fleet):
    timeout_ms = 9000
    max_body_bytes = BODY_LIMIT

    def new_backend(self, instance, service):
        return HostileBackend(instance, service, service == "engine", self.random.random(),
                              self.promises)


class HostileScenario(Scenario):
    """A crowd of callers; each method of a scenario's name is what one of them does, once."""

    new_fleet = HostileFleet

    def __init__(self, options):
        super().__init__(options)
        self.playing = False
        self.numbers = 0
        self.answers = {}  # Status, or 0 for a connection that ended: how often.
        self.refused = set()
        self.account_bytes = []

    async def start(self):
        make = direct_fleet.soak.Cluster

        def small_cluster(*arguments, **options):
            cluster = make(*arguments, **options)
            cluster.memory_mb = {"gateway": GATEWAY_MEMORY_MB, "store": STORE_MEMORY_MB}
            if self.options.scenario in FEW_DESCRIPTORS:
                cluster.descriptor_limits = {"gateway": DESCRIPTOR_LIMIT}
            return cluster

        direct_fleet.soak.Cluster = small_cluster
        return await super().start()

    async def play(self):
        setattr(self, self.options.scenario, self.play_crowd)
        return await super().play()

    async def play_crowd(self):
        crowd, count = CROWDS[self.options.scenario]
        gateway = self.cluster.gateways[0]
        watches = [Watch(node) for node in self.cluster.nodes()]
        by_name = {watch.node.name: watch for watch in watches}
        before = by_name[gateway.name].count_descriptors()
        for watch in watches:
            watch.start()
        beside = 0
        self.playing = True
        work = [asyncio.ensure_future(self.repeat(crowd)) for _ in range(count)]
        if self.options.scenario == "stopped":
            await asyncio.sleep(1.0)
            await self.cluster.stop_planned(gateway)
            gateway.start()
            await asyncio.sleep(1.0)
            by_name[gateway.name].pid = gateway.process.pid
            answered = True  # Its gateway is away for the most part.
        elif self.options.scenario == "stores_restarted":
            for store in self.cluster.stores:
                await asyncio.sleep(PLAY_S / 3 - 0.3)
                store.kill()
                await asyncio.sleep(0.3)
                store.start()
                by_name[store.name].pid = store.process.pid
            answered = await self.ordinary(SAFE, ORDINARY_TRIES)
        else:
            until = time.monotonic() + PLAY_S
            while time.monotonic() < until:
                beside += await self.ordinary(SAFE, 1)
                await asyncio.sleep(0.2)
            answered = await self.ordinary(SAFE, ORDINARY_TRIES)
        self.playing = False
        for task in work:
            task.cancel()
        await asyncio.gather(*work, return_exceptions=True)
        plain = await self.ordinary(SAFE, ORDINARY_TRIES)
        turn = await self.ordinary(TURN, ORDINARY_TRIES)
        kept = await self.kept_descriptors(by_name[gateway.name], before)
        self.account_bytes = [await self.held_bytes(node) for node in self.cluster.gateways]
        for watch in watches:
            watch.stopped.set()
            watch.join()
        return self.report(watches, beside, answered, plain, turn, kept)

    async def kept_descriptors(self, watch, before):
        """How many descriptors the gateway has more than before, once idle connections are closed."""
        until = time.monotonic() + REST_S
        while True:
            more = watch.count_descriptors() - before
            if more <= DESCRIPTORS_KEPT or time.monotonic() > until:
                return more
            await asyncio.sleep(0.2)

    async def held_bytes(self, gateway):
        """What the gateway's account holds besides cached turns, once the crowd's calls have ended."""
        until = time.monotonic() + REST_S
        while True:
            reader, writer = await asyncio.open_connection("127.0.0.1", gateway.metrics_port)
            writer.write(render("GET /metrics HTTP/1.1", [("Host", "h"), ("Connection", "close")]))
            text = (await reader.read()).decode()
            writer.close()
            held, cached = (int(re.search(rf"rudderway_{name} (\d+)", text).group(1))
                            for name in ("memory_held_bytes", "chain_cache_bytes"))
            if held - cached <= HELD_AT_REST_BYTES or time.monotonic() > until:
                return held - cached
            await asyncio.sleep(0.2)

    def report(self, watches, beside, answered, plain, turn, kept):
        bounds = {"gateway": GATEWAY_MEMORY_MB, "store": STORE_MEMORY_MB}
        peaks = {watch.node.name: round(watch.peak_mb, 1) for watch in watches}
        # A sanitizer's own memory is not the process's.
        sanitized = "asan" in self.options.build or "tsan" in self.options.build
        fits = sanitized or all(watch.peak_mb <= bounds[watch.node.kind] for watch in watches)
        self.cluster.check_ends()
        alive = all(node.running() for node in self.cluster.nodes())
        run_after_refusal = len(self.refused & HostileBackend.ran)
        wrong = len(HostileBackend.wrong_bodies)
        held = (alive and fits and plain and turn and answered and kept <= DESCRIPTORS_KEPT and
                run_after_refusal == 0 and wrong == 0 and
                all(0 <= held <= HELD_AT_REST_BYTES for held in self.account_bytes))
        return {
            "alive": alive, "peak_mb": peaks,
            "left_mb": {watch.node.name: round(rss_mb(watch.pid), 1) for watch in watches if alive},
            "waiting_mb": round(max(watch.waiting_mb for watch in watches), 1),
            "descriptors": max(watch.descriptors for watch in watches), "descriptors_kept": kept,
            "beside": beside, "answered_beside": answered, "ordinary": plain, "ordinary_turn": turn,
            "account_bytes": self.account_bytes, "run_after_refusal": run_after_refusal, "wrong_bodies": wrong,
            "crowd": {str(key): value for key, value in sorted(self.answers.items())},
            "held": bool(held),
        }

    async def ordinary(self, route, tries):
        """True if an ordinary request is answered within so many tries."""
        program = self.caller.new_id()
        self.caller.leave_early_share = 0.0
        for _ in range(tries):
            _, result = await self.caller.attempt(
                route, b"ordinary\n", program if route.stream else None, None)
            if result.whole and result.status == 200:
                return True
            await asyncio.sleep(min(max(result.retry_after_s, 0.1), 0.5))
        return False

    async def repeat(self, crowd):
        caller = Crowd(self)
        while self.playing:
            try:
                await crowd(caller)
            except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
                self.note(0)
            finally:
                caller.close()
            await asyncio.sleep(PAUSE_S)

    def choose_gateway(self):
        return self.random.choice(self.cluster.gateways)

    def note(self, status):
        self.answers[status] = self.answers.get(status, 0) + 1

    def new_id(self):
        self.numbers += 1
        return f"{HOSTILE}-{self.numbers}"


class Crowd:
    """One caller of a crowd."""

    def __init__(self, scenario):
        self.scenario = scenario
        self.reader = self.writer = None
        self.attempt_id = ""

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.writer = None

    async def connect(self, buffer_bytes=None, port=None):
        self.close()
        connection = socket.socket()
        if buffer_bytes is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        connection.setblocking(False)
        port = port or self.scenario.choose_gateway().calls_port
        await asyncio.get_running_loop().sock_connect(connection, ("127.0.0.1", port))
        limit = SLOW_BUFFER_BYTES if buffer_bytes is not None else 65536
        self.reader, self.writer = await asyncio.open_connection(sock=connection, limit=limit)

    def begin(self, start, extra, body=b""):
        self.attempt_id = self.scenario.new_id()
        self.writer.write(render(start, fields_of(self.attempt_id, extra), body))

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def read_status(self):
        """Reads a whole answer and notes its status."""
        message = await read_head(self.reader)
        while message is not None and message.status == 100:
            message = await read_head(self.reader)
        if message is None:
            self.scenario.note(0)
            return 0
        async for _ in read_pieces(self.reader, message):
            pass
        self.scenario.note(message.status)
        if message.status in NOT_RUN:
            self.scenario.refused.add(self.attempt_id)
        return message.status

    # Bodies that do not end.

    async def chunk_without_end(self):
        await self.connect()
        self.begin("POST /unsafe/x HTTP/1.1", [("Transfer-Encoding", "chunked")])
        await self.send(render_chunk(b"a" * JUST_BELOW))
        await self.read_status()

    async def chunks_without_end(self):
        await self.connect()
        self.begin("POST /unsafe/x HTTP/1.1", [("Transfer-Encoding", "chunked")])
        for _ in range(JUST_BELOW // 16384):
            await self.send(render_chunk(b"a" * 16384))
        await self.read_status()

    async def bytes_without_end(self):
        await self.connect()
        self.begin("POST /unsafe/x HTTP/1.1", [("Transfer-Encoding", "chunked")])
        for _ in range(30):
            await self.send(render_chunk(b"a") * 10_000)
        await self.read_status()

    async def byte_missing(self):
        await self.connect()
        self.begin("POST /unsafe/x HTTP/1.1", [("Content-Length", JUST_BELOW + 1)], b"a" * JUST_BELOW)
        await self.read_status()

    async def byte_missing_of_old(self):
        await self.connect()
        self.begin("POST /unsafe/x HTTP/1.0", [("Content-Length", JUST_BELOW + 1), ("Expect", "100-continue")],
                   b"a" * JUST_BELOW)
        await self.read_status()

    async def left_and_begun_again(self):
        await self.connect()
        self.begin("POST /unsafe/x HTTP/1.1", [("Transfer-Encoding", "chunked")])
        await self.send(render_chunk(b"a" * JUST_BELOW))
        try:
            await asyncio.wait_for(self.read_status(), 2.7)
        except asyncio.TimeoutError:
            pass

    async def trailers_without_end(self):
        await self.connect()
        self.begin("POST /unsafe/x HTTP/1.1", [("Transfer-Encoding", "chunked")])
        await self.send(render_chunk(b"a" * (JUST_BELOW // 2)) + b"0\r\n")
        for number in range(100):
            await self.send(b"X-%d: %s\r\n" % (number, b"a" * 100))
            await asyncio.sleep(0.05)

    async def too_large(self):
        await self.connect()
        self.begin("POST /unsafe/x HTTP/1.1", [("Transfer-Encoding", "chunked")])
        for _ in range(64):
            await self.send(render_chunk(b"a" * 65536))
        await self.read_status()

    # Whole bodies.

    def begin_whole(self, path, body=b"a" * JUST_BELOW):
        digest = hashlib.sha256(body).hexdigest()
        self.begin(f"POST {path} HTTP/1.1", [("Content-Length", len(body)), ("X-Digest", digest)], body)

    async def whole_and_late(self):
        await self.connect()
        self.begin_whole("/unsafe/late")
        await self.read_status()

    async def half_closed_and_late(self):
        await self.connect()
        self.begin_whole("/unsafe/late")
        await self.writer.drain()
        self.writer.write_eof()
        await self.read_status()

    async def rests_after_404(self):
        await self.connect()
        self.begin_whole("/nowhere/x")
        await self.read_status()
        await asyncio.sleep(PLAY_S)

    async def upload_behind_a_request(self):
        await self.connect()
        self.begin_whole("/unsafe/late", b"a")
        first = self.attempt_id
        self.begin("POST /unsafe/x HTTP/1.1", [("Transfer-Encoding", "chunked")])
        self.writer.write(render_chunk(b"a" * JUST_BELOW))
        second, self.attempt_id = self.attempt_id, first
        await self.read_status()
        self.attempt_id = second
        await self.read_status()

    # Answers that are not read.

    async def read_slowly(self):
        until = time.monotonic() + PLAY_S
        while time.monotonic() < until and await self.reader.read(SLOW_RATE // 10):
            await asyncio.sleep(0.1)

    async def unread_stream(self):
        await self.connect(SLOW_BUFFER_BYTES)
        self.begin("POST /resumable/large HTTP/1.1", [("Content-Length", 0)])
        await self.read_slowly()

    async def unread_answer(self):
        await self.connect(SLOW_BUFFER_BYTES)
        self.begin("GET /safe/large HTTP/1.1", [])
        await self.read_slowly()

    # Turns.

    def begin_turn(self, program, parent):
        extra = [("Program-Id", program), ("Session-Id", program), ("Token-Budget", 400),
                 ("Token-Counts", "100,40"), ("Content-Length", TURN_BYTES)]
        if parent is not None:
            extra.append(("Previous-Turn", parent))
        self.begin("POST /turns/x HTTP/1.1", extra, b"a" * TURN_BYTES)

    async def large_first_turns(self):
        await self.connect()
        self.begin_turn(self.scenario.new_id(), None)
        await self.read_status()

    async def large_conversations(self):
        program, parent = self.scenario.new_id(), None
        for _ in range(CHAIN_TURNS):
            await self.connect()
            self.begin_turn(program, parent)
            if await self.read_status() == 200:
                parent = self.attempt_id

    async def long_ids(self):
        await self.connect()
        filler = "i" * LONG_ID_BYTES
        program = self.scenario.new_id() + filler
        self.attempt_id = self.scenario.new_id() + filler
        extra = [("Program-Id", program), ("Session-Id", "s"), ("Token-Budget", 400),
                 ("Token-Counts", "100,40"), ("Content-Length", 0)]
        self.writer.write(render("POST /turns/x HTTP/1.1", fields_of(self.attempt_id, extra)))
        await self.read_status()

    # Ports for operators.

    async def heads_without_end(self):
        nodes = self.scenario.cluster.nodes()
        ports = [node.metrics_port for node in nodes] + [self.scenario.choose_gateway().readiness_port]
        await self.connect(port=self.scenario.random.choice(ports))
        await self.send(b"GET /metrics HTTP/1.1\r\nX: " + b"x" * 8000)
        await self.read_status()

    # Connections.

    async def idle_connections(self):
        await self.connect()
        await asyncio.sleep(3 * PLAY_S)

    async def rest_on_connections(self):
        await self.connect()
        await self.send(b"GET /safe/x HTTP/1.1\r\nX: ")
        await asyncio.sleep(PLAY_S)


CROWDS = {
    "chunk_without_end": (Crowd.chunk_without_end, CROWD),
    "chunks_without_end": (Crowd.chunks_without_end, CROWD),
    "bytes_without_end": (Crowd.bytes_without_end, LARGE_CROWD),
    "byte_missing": (Crowd.byte_missing, CROWD),
    "byte_missing_of_old": (Crowd.byte_missing_of_old, CROWD),
    "left_and_begun_again": (Crowd.left_and_begun_again, CROWD),
    "trailers_without_end": (Crowd.trailers_without_end, LARGE_CROWD),
    "too_large": (Crowd.too_large, CROWD),
    "whole_and_late": (Crowd.whole_and_late, CROWD),
    "half_closed_and_late": (Crowd.half_closed_and_late, CROWD),
    "rests_after_404": (Crowd.rests_after_404, CROWD),
    "upload_behind_a_request": (Crowd.upload_behind_a_request, CROWD),
    "unread_stream": (Crowd.unread_stream, CROWD),
    "unread_answer": (Crowd.unread_answer, CROWD),
    "large_first_turns": (Crowd.large_first_turns, CROWD),
    "large_conversations": (Crowd.large_conversations, CROWD // 4),
    "long_ids": (Crowd.long_ids, CROWD),
    "several_gateways": (Crowd.large_first_turns, LARGE_CROWD),
    "stores_restarted": (Crowd.large_conversations, CROWD // 4),
    "report_ports": (Crowd.heads_without_end, 2 * LARGE_CROWD),
    "idle_connections": (Crowd.idle_connections, 2 * DESCRIPTOR_LIMIT),
    "rest_on_connections": (Crowd.rest_on_connections, 2 * DESCRIPTOR_LIMIT),
    "stopped": (Crowd.chunk_without_end, CROWD),
}


FEW_DESCRIPTORS = {"idle_connections", "rest_on_connections"}


def main():
    options = read_options(new_parser(__doc__, "hostile-callers", list(CROWDS)))
    options.gateways, options.programs = 3 if options.scenario == "several_gateways" else 1, 0
    play_and_exit(HostileScenario, options)


if __name__ == "__main__":
    main()
