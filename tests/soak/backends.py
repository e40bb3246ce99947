"""Model servers and plain servers for the soak. They note all that they run, and misbehave on order."""

import asyncio
import hashlib
import json
import random

from http_message import read_request, render, render_answer, render_chunk
from proxy import reset

EVENT_PAUSE_S = 0.004
PACES = [1, 1, 3, 8]
WORK_LEAST_S, WORK_MOST_S = 0.02, 2.8  # The routes allow 3 s.
LARGE_SHARE = 0.15
LARGE_LEAST_BYTES, LARGE_MOST_BYTES = 500_000, 8_000_000
HANG_S = 30.0
REPORT_PATH = "/-/report"


def event_data(attempt_id, body, number):
    """The data of one event: the same for each run of the same request."""
    digest = hashlib.sha256(body).hexdigest()[:12]
    return f"{attempt_id}.{digest}.{number}"


def events_of(attempt_id):
    """How many events the answer to an attempt has: 2 to 7."""
    return 2 + int(attempt_id[-2:], 16) % 6


class Backend:
    """One incarnation of a server."""

    def __init__(self, instance, service, engine, seed, promises):
        self.instance = instance
        self.service = service
        self.engine = engine
        self.random = random.Random(seed)
        self.promises = promises
        # Share of requests for each fault that is in force.
        self.faults = {}
        self.pace = 1  # How many times as long as usual it takes.
        self.work = None  # A generator, if it works for drawn times.
        self.sizes = None  # A seed, if some answers are large.
        self.born_ms = 0
        self.connections = set()

    async def start(self, port):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)

    def stop(self):
        """The server is gone: its port refuses, its connections are reset."""
        self.server.close()
        for writer in list(self.connections):
            reset(writer)

    def report(self):
        """What it says of itself."""
        return {"born": self.born_ms} if self.born_ms else {}

    def _strikes(self, fault):
        return self.random.random() < self.faults.get(fault, 0.0)

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._handle(request, writer):
                    break
                await writer.drain()
        except (OSError, ConnectionError, asyncio.IncompleteReadError):
            reset(writer)
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _handle(self, request, writer):
        """Answers one request; False if the connection ends."""
        if request.target == REPORT_PATH:
            writer.write(render_answer(200, [], json.dumps(self.report()).encode()))
            return True
        attempt_id = request.get("attempt-id", "-")
        fields = [("Attempt-Id", attempt_id)]
        if request.get("expect-instance") not in (None, self.instance):
            writer.write(render_answer(421, fields + [("Not-Executed", 1)]))
            return True
        if self._strikes("refuse"):
            writer.write(render_answer(503, fields + [("Not-Executed", 1)]))
            return True
        self.promises.note_run(
            attempt_id, self.instance, request.method, request.target, request.body
        )
        if self._strikes("lose_answer"):
            reset(writer)
            return False
        if self._strikes("hang"):
            await asyncio.sleep(HANG_S)
            return False
        if self._strikes("error"):
            writer.write(render_answer(500, fields + [("Response-Signature", "s")], b"failed"))
            return True
        fields.append(("Response-Signature", f"{self.instance}.{attempt_id}"))
        if self._strikes("wrong_id"):
            fields[0] = ("Attempt-Id", "ffffffffffffffff")
        if self._strikes("unsigned"):
            fields.pop()
        if self.engine:
            return await self._stream(request, attempt_id, fields, writer)
        await self._work(request)
        return self._answer_whole(request, attempt_id, fields, writer)

    async def _work(self, request):
        """What a plain call takes."""
        del request
        if self.pace > 1 or self.work is not None:
            await asyncio.sleep((self.pace - 1) * EVENT_PAUSE_S + self._draw_work_s())

    def _draw_work_s(self):
        if self.work is None:
            return 0.0
        return WORK_LEAST_S * (WORK_MOST_S / WORK_LEAST_S) ** self.work.random()

    def _draw_times(self, attempt_id, length):
        """How many times as long as usual the answer is: the same for each run of a request."""
        if self.sizes is None:
            return 1
        chance = random.Random(f"{self.sizes} {self.instance} {attempt_id}")
        if chance.random() >= LARGE_SHARE:
            return 1
        return chance.randint(LARGE_LEAST_BYTES, LARGE_MOST_BYTES) // length

    def _answer_body(self, request, attempt_id):
        body = hashlib.sha256(request.body + attempt_id.encode()).hexdigest().encode() * 8
        return body * self._draw_times(attempt_id, len(body))

    def _answer_whole(self, request, attempt_id, fields, writer):
        body = self._answer_body(request, attempt_id)
        self.promises.attempts[attempt_id].produced[self.instance] = body
        answer = render_answer(200, fields, body)
        if self._strikes("cut"):
            writer.write(answer[: len(answer) - 40])
            return False
        if self._strikes("surplus"):
            answer += answer
        writer.write(answer)
        return True

    def _event_pause_s(self, request, attempt_id):
        del request
        return EVENT_PAUSE_S * self.pace + self._draw_work_s() / events_of(attempt_id)

    async def _stream(self, request, attempt_id, fields, writer):
        fields = fields + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        writer.write(render("HTTP/1.1 200 OK", fields))
        last = request.get("last-event-id")
        cut_at = self.random.randint(1, 6) if self._strikes("cut") else 0
        pause_s = self._event_pause_s(request, attempt_id)
        for number in range(1 if last is None else int(last) + 1, events_of(attempt_id) + 1):
            await asyncio.sleep(pause_s)
            data = event_data(attempt_id, request.body, number)
            event = f"id: {number}\ndata: {data}\n\n".encode()
            if number == cut_at:
                writer.write(render_chunk(event)[:15])
                await writer.drain()
                return False
            writer.write(render_chunk(event))
            await writer.drain()
        writer.write(render_chunk(b""))
        self.promises.note_finish(attempt_id, self.instance)
        if self._strikes("surplus"):
            writer.write(render_answer(200, fields[:2], b"surplus"))
        return True
