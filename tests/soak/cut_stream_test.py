#!/usr/bin/env python3
"""Event streams that end early, against real gateways and storage nodes on loopback.

    cut_stream_test.py --build build SCENARIO

The scenario names how an answer ends, and where. The last line is JSON. Exit status 0: each caller
got what the end allows, and the next turn of a chain the prompt that the callers saw.
"""

import asyncio
import os
import sys
from dataclasses import dataclass

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from backends import Backend, event_data, events_of
from callers import BUDGET, MOST_TOKENS, RESUMABLE, TURN
from direct_fleet import Fleet, Scenario, new_parser, play_and_exit, read_options
from http_message import read_head, read_pieces, render
from promises import Attempt
from proxy import reset

CUT_ONCE, CUT_ALWAYS = b"cut once", b"cut always"  # Bodies of the requests that are cut.
CALLS = 8
PATIENCE_S = 6.0
BAD_GATEWAY = 502
NOT_FOUND = 404
RESET_AFTER = 1  # Events of the first answer to a request whose second answer is cut.

CLOSED = [("Content-Type", "text/event-stream"), ("Connection", "close")]


@dataclass(frozen=True)
class Form:
    """An answer that ends early, and whether that is the end of a whole answer."""

    whole: bool
    fields: tuple = tuple(CLOSED)
    events: int = 0
    rest: bytes = b""
    resumed: bool = False  # It goes on with a stream that was reset before.


FORMS = {
    "nothing": Form(False),
    "comment": Form(False, rest=b": waiting\n\n"),
    "part_of_event": Form(False, rest=b"id: 1\ndata: a"),
    "nothing_more": Form(False, resumed=True),
    "some_events": Form(True, events=1),
    "chunked": Form(True, (("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")),
                    rest=b"0\r\n\r\n"),
    "length": Form(True, (("Content-Type", "text/event-stream"), ("Content-Length", "0"))),
}


class CuttingBackend(Backend):
    """Ends its answers early under the requests that ask for it."""

    def __init__(self, form, *arguments):
        super().__init__(*arguments)
        self.form = form

    async def _stream(self, request, attempt_id, fields, writer):
        runs = len(self.promises.attempts[attempt_id].runs)
        begins_cut = self.form.resumed and runs == 1
        cut_run = 2 if self.form.resumed else 1
        marked = request.body.endswith((CUT_ONCE, CUT_ALWAYS))
        if marked and begins_cut:
            self._write_answer(request, attempt_id, fields, RESET_AFTER, b"", writer)
            await writer.drain()
            await asyncio.sleep(0.05)
            reset(writer)
            return False
        if marked and (runs == cut_run or request.body.endswith(CUT_ALWAYS)):
            form = self.form
            self._write_answer(request, attempt_id, fields, form.events, form.rest, writer)
            return ("Connection", "close") not in form.fields
        return await super()._stream(request, attempt_id, fields, writer)

    def _write_answer(self, request, attempt_id, fields, events, rest, writer):
        writer.write(render("HTTP/1.1 200 OK", fields + list(self.form.fields)))
        for number in range(1, events + 1):
            data = event_data(attempt_id, request.body, number)
            writer.write(f"id: {number}\ndata: {data}\n\n".encode())
        writer.write(rest)


class CuttingFleet(Fleet):
    def new_backend(self, instance, service):
        return CuttingBackend(FORMS[self.options.scenario], instance, service, service == "engine",
                              self.random.random(), self.promises)

    def attempts(self, route):
        return 3 if route.repeatable else 1


class CutScenario(Scenario):
    """Calls whose streams are cut, one at a time, beside programs."""

    new_fleet = CuttingFleet

    async def play(self):
        setattr(self, self.options.scenario, self.send_all)
        return await super().play()

    async def send_all(self):
        form, wrong = FORMS[self.options.scenario], []
        for number in range(CALLS):
            for mark, route in ((CUT_ONCE, RESUMABLE), (CUT_ALWAYS, RESUMABLE), (CUT_ALWAYS, TURN)):
                if form.resumed and route is TURN:
                    continue
                got = await self.send(route, b"%d %s" % (number, mark))
                expected = self.expect(form, mark, route, got)
                if (got["status"], got["whole"], got["events"], got["runs"]) != expected:
                    wrong.append([mark.decode(), route.prefix, got, expected])
                if route is TURN:
                    wrong += await self.go_on(got)
        return {"wrong": wrong, "held": not wrong}

    def expect(self, form, mark, route, got):
        """Status, whether it ended as whole, events, and back ends that ran it."""
        if form.whole:
            return 200, True, form.events, 1
        if mark is CUT_ONCE:
            return 200, True, events_of(got["id"]), 3 if form.resumed else 2
        if form.resumed:
            return 200, False, RESET_AFTER, self.fleet.attempts(route)
        return BAD_GATEWAY, True, 0, self.fleet.attempts(route)

    async def go_on(self, turn):
        """The next turn; the back end checks its prompt against what the caller has seen."""
        if turn["status"] == 200:
            self.promises.note_turn(turn["id"], None, turn["body"].encode(),
                                    turn["output"].encode())
        got = await self.send(TURN, b"next", turn["id"])
        expected = 200 if turn["status"] == 200 else NOT_FOUND
        return [] if got["status"] == expected else [["next turn", got, expected]]

    async def send(self, route, body, parent=None):
        """One call and what its caller got."""
        attempt_id = self.caller.new_id()
        target = f"{route.prefix}x"
        chain = self.promises.chain(parent if parent in self.promises.turns else None)
        attempt = Attempt(attempt_id, route, "POST", target, chain + body, None)
        self.promises.begin(attempt)
        fields = [("Host", "soak.example"), ("Attempt-Id", attempt_id),
                  ("Content-Length", len(body)), ("Deadline-Milliseconds", 4000),
                  ("Program-Id", f"p-{attempt_id}"),
                  ("Token-Budget", BUDGET), ("Token-Counts", f"100,{MOST_TOKENS}")]
        if parent is not None:
            fields.append(("Previous-Turn", parent))
        gateway = self.random.choice(self.cluster.gateways)
        status, whole, answer, writer = 0, False, b"", None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", gateway.calls_port)
            writer.write(render(f"POST {target} HTTP/1.1", fields, body))
            message = await asyncio.wait_for(read_head(reader), PATIENCE_S)
            status = message.status
            async for piece in read_pieces(reader, message):
                answer += piece
            whole = True
        except (OSError, AttributeError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()
        lines = answer.split(b"\n")
        output = b"".join(line[6:] + b"\n" for line in lines if line.startswith(b"data: "))
        return {"id": attempt_id, "status": status, "whole": whole, "events": output.count(b"\n"),
                "runs": len({instance for instance, _ in attempt.runs}),
                "output": output.decode(), "body": body.decode()}


def main():
    play_and_exit(CutScenario, read_options(new_parser(__doc__, "cut-stream", list(FORMS))))


if __name__ == "__main__":
    main()
