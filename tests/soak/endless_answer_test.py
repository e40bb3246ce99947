#!/usr/bin/env python3
"""Back ends whose bytes never end, or are too many, against real gateways and storage nodes on loopback.

    endless_answer_test.py --build build SCENARIO

The scenario names what they send. The last line is JSON. Exit status 0: each such call ended without
being taken for whole, no call beside them failed for it, and no gateway grew beyond its bound.
"""

import asyncio
import os
import re
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import soak
from backends import Backend
from callers import RESUMABLE, SAFE, TURN, UNSAFE
from direct_fleet import Fleet, Scenario, new_parser, play_and_exit, read_options
from http_message import read_head, read_pieces, render, render_chunk
from promises import Attempt

BODY = b"endless"  # Of the requests that are answered without end, or the end of their target.
CALLS = 12
PATIENCE_S = 6.0  # Longer than the route allows.
GROWTH_MAX_MB = 130  # Half of the memory of a small gateway.
PIECE_BYTES = 65536
LARGE_PIECES, LARGE_CALLS, LARGE_PAUSE_S = 272, 2, 0.0  # In time though the machine is busy.
LARGE_BYTES = LARGE_PIECES * PIECE_BYTES  # 17 MiB: more than a gateway holds of one answer.
PAUSE_S = 0.006  # Between pieces: some 10 MB a second on each connection.
SLOW_PAUSE_S = 0.1
FAILED = {502, 504}  # A call beside them must not end so.
WAITED = 504  # Its bytes never end, as is known long before its time is over.


def of_size(unit):
    """As many units as fill a piece."""
    return unit * (PIECE_BYTES // len(unit))


class Form:
    """What an answer without end consists of, or one that is too large to be held."""

    def __init__(self, routes, head, begin, piece, pause_s=PAUSE_S, known_early=True, end=None):
        self.routes = routes
        self.head = head  # None: no head, else its fields.
        self.begin = begin
        self.piece = piece
        self.pause_s = pause_s
        self.known_early = known_early  # No answer can be so long at its pace, within the call's time.
        self.end = end  # After LARGE_PIECES; None: it never ends.
        self.calls = CALLS if end is None else LARGE_CALLS


STREAM = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
CHUNKED = [("Transfer-Encoding", "chunked")]
STREAMED, PLAIN = [TURN, RESUMABLE], [SAFE, UNSAFE]
FORMS = {
    "event": Form(STREAMED, STREAM, render_chunk(b"id: 1\ndata: "), render_chunk(b"a" * PIECE_BYTES)),
    "comments": Form(STREAMED, STREAM, b"", render_chunk(of_size(b": still here\n"))),
    "comment_blocks": Form(STREAMED, STREAM, b"", render_chunk(of_size(b": still here\n\n"))),
    "interim_heads": Form(STREAMED + PLAIN, None, b"", of_size(b"HTTP/1.1 100 Continue\r\n\r\n")),
    "one_head": Form(STREAMED + PLAIN, None, b"HTTP/1.1 200 OK\r\nX: ", b"a" * PIECE_BYTES),
    "body": Form(PLAIN, CHUNKED, b"", render_chunk(b"a" * PIECE_BYTES),
                 known_early=False),
    "body_without_length": Form(PLAIN, [("Connection", "close")], b"", b"a" * PIECE_BYTES,
                                known_early=False),
    "large_body": Form(PLAIN, CHUNKED, b"", render_chunk(b"a" * PIECE_BYTES), known_early=False,
                       pause_s=LARGE_PAUSE_S, end=b"0\r\n\r\n"),
    "large_body_with_length": Form(PLAIN, [("Content-Length", LARGE_BYTES)], b"", b"a" * PIECE_BYTES,
                                   LARGE_PAUSE_S, known_early=False, end=b""),
    "large_body_without_length": Form(PLAIN, [("Connection", "close")], b"", b"a" * PIECE_BYTES,
                                      LARGE_PAUSE_S, known_early=False, end=b""),
    "slow_event": Form(STREAMED, STREAM, render_chunk(b"id: 1\ndata: "), render_chunk(b"a"),
                       SLOW_PAUSE_S, known_early=False),
    "slow_comments": Form(STREAMED, STREAM, b"", render_chunk(b": still here\n"), SLOW_PAUSE_S,
                          known_early=False),
    "slow_head": Form(STREAMED + PLAIN, None, b"HTTP/1.1 200 OK\r\nX: ", b"a", SLOW_PAUSE_S,
                      known_early=False),
    "slow_body": Form(PLAIN, CHUNKED, b"", render_chunk(b"a"), SLOW_PAUSE_S, known_early=False),
}


class EndlessBackend(Backend):
    """Sends bytes without end under the requests that ask for it."""

    def __init__(self, form, *arguments):
        super().__init__(*arguments)
        self.form = form

    async def _stream(self, request, attempt_id, fields, writer):
        if not request.body.endswith(BODY):
            return await super()._stream(request, attempt_id, fields, writer)
        return await self._send_without_end(fields, writer)

    async def _handle(self, request, writer):
        attempt_id = request.get("attempt-id", "-")
        if self.engine or not (request.body.endswith(BODY) or BODY.decode() in request.target):
            return await super()._handle(request, writer)
        self.promises.note_run(attempt_id, self.instance, request.method, request.target,
                               request.body)
        fields = [("Attempt-Id", attempt_id), ("Response-Signature", f"{self.instance}.{attempt_id}")]
        return await self._send_without_end(fields, writer)

    async def _send_without_end(self, fields, writer):
        if self.form.head is not None:
            writer.write(render("HTTP/1.1 200 OK", fields + self.form.head))
        writer.write(self.form.begin)
        pieces = 0
        while not writer.transport.is_closing():
            if self.form.end is not None and pieces == LARGE_PIECES:
                writer.write(self.form.end)
                return False
            pieces += 1
            writer.write(self.form.piece)
            await writer.drain()
            await asyncio.sleep(self.form.pause_s)
        return False


class EndlessFleet(Fleet):
    def new_backend(self, instance, service):
        return EndlessBackend(FORMS[self.options.scenario], instance, service, service == "engine",
                              self.random.random(), self.promises)


class EndlessScenario(Scenario):
    """Calls that are answered without end, beside programs."""

    new_fleet = EndlessFleet

    async def play(self):
        setattr(self, self.options.scenario, self.send_all)
        return await super().play()

    def peak_mb(self, gateway):
        """The most memory that the process has used, in MB."""
        with open(f"/proc/{gateway.process.pid}/status", encoding="utf-8") as file:
            return int(re.search(r"VmHWM:\s+(\d+) kB", file.read()).group(1)) / 1024

    async def send_all(self):
        before = {gateway.name: self.peak_mb(gateway) for gateway in self.cluster.gateways}
        statuses = dict(self.promises.statuses)
        routes = FORMS[self.options.scenario].routes
        gateway = self.cluster.gateways[0]  # The same one, which has to hold them all.
        results = await asyncio.gather(*(self.send(gateway, routes[number % len(routes)], number)
                                         for number in range(FORMS[self.options.scenario].calls)))
        growth = max(self.peak_mb(gateway) - before[gateway.name]
                     for gateway in self.cluster.gateways)
        failed = sum(self.promises.statuses.get(status, 0) - statuses.get(status, 0)
                     for status in FAILED)
        form = FORMS[self.options.scenario]
        whole = sum(result[1] for result in results)
        waited = sum(result[0] == WAITED for result in results if form.known_early)
        return {"calls": results, "growth_mb": round(growth, 1), "others_failed": failed,
                "waited": waited,
                "held": whole + waited + failed == 0 and growth <= GROWTH_MAX_MB}

    async def send(self, gateway, route, number):
        """One call; returns its status, whether it was taken for whole and is not, and its seconds."""
        attempt_id = self.caller.new_id()
        method, body = ("GET", b"") if route is SAFE else ("POST", BODY)
        target = f"{route.prefix}{BODY.decode()}"
        self.promises.begin(Attempt(attempt_id, route, method, target, body, None))
        fields = [("Host", "soak.example"), ("Attempt-Id", attempt_id), ("Content-Length", len(body)),
                  ("Deadline-Milliseconds", 4000)]
        if route.stream:
            fields += [("Program-Id", f"p-endless-{number}"), ("Token-Budget", 400),
                       ("Token-Counts", "100,40")]
        begun_at, status, whole, writer, length = time.monotonic(), 0, False, None, 0
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", gateway.calls_port)
            writer.write(render(f"{method} {target} HTTP/1.1", fields, body))
            message = await asyncio.wait_for(read_head(reader), PATIENCE_S)
            status = message.status if message is not None else 0
            pieces = read_pieces(reader, message)
            while (left := begun_at + PATIENCE_S - time.monotonic()) > 0:
                length += len(await asyncio.wait_for(anext(pieces), left))
        except StopAsyncIteration:
            whole = status == 200
            if FORMS[self.options.scenario].end is not None and length == LARGE_BYTES:
                whole = False  # It has an end, and the caller has all of it.
        except (OSError, AttributeError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()
        return status, whole, round(time.monotonic() - begun_at, 2)


def main():
    options = read_options(new_parser(__doc__, "endless-answer", list(FORMS)))
    # What a sanitizer keeps of freed memory is no growth of the process's own.
    os.environ["ASAN_OPTIONS"] = os.environ.get("ASAN_OPTIONS", "") + ":quarantine_size_mb=4"
    play_and_exit(EndlessScenario, options)


if __name__ == "__main__":
    main()
