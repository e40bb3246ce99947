"""Callers of the soak: programs with turns and tool calls. They judge what they get."""

import asyncio
import random
import time
from dataclasses import dataclass

from backends import event_data, events_of
from http_message import read_head, read_pieces, render
from promises import Attempt, NOT_RUN_STATUSES

DEADLINE_MS = 4000
PATIENCE_S = 6.0
TOKENS_PER_EVENT = 5
MOST_TOKENS = 40
BUDGET = 400
TURN_TRIES = 3
COME_BACK_MOST_S = 1.0
LEAVE_EARLY_SHARE = 0.03
RATE_LEAST, RATE_MOST = 2e6, 50e6  # Bytes a second.
FINAL_STATUSES = {400, 401, 402, 403, 404, 413}


@dataclass(frozen=True)
class Route:
    """One kind of request; prefix is its path."""

    prefix: str
    stream: bool
    repeatable: bool
    stateful: bool = False


TURN = Route("/turns/", stream=True, repeatable=False, stateful=True)
RESUMABLE = Route("/resumable/", stream=True, repeatable=True)
SAFE = Route("/safe/", stream=False, repeatable=True)
UNSAFE = Route("/unsafe/", stream=False, repeatable=False)


class Result:
    """What came of one attempt."""

    def __init__(self):
        self.status = 0  # 0: the connection ended without an answer.
        self.whole = False
        self.output = b""
        self.events = 0
        self.retry_after_s = 0.0
        self.left = False  # The caller went away itself.
        self.closes = False  # The answer announced the end of its connection.
        self.sent_at = None  # When the request was sent whole.


class Caller:
    """Speaks to gateways through their proxies; a connection for each attempt."""

    leave_early_share = LEAVE_EARLY_SHARE
    deadline_ms, patience_s = DEADLINE_MS, PATIENCE_S

    def __init__(self, promises, gateways, seed, keys=False, large=False):
        self.keys = keys  # Whether calls carry their tenant's key.
        self.promises = promises
        self.gateways = gateways
        self.random = random.Random(seed)
        # How fast answers are read is drawn for each, if some are large.
        self.rates = random.Random(f"rates {seed}") if large else None

    def new_id(self):
        return f"{self.random.getrandbits(64):016x}"

    async def attempt(self, route, body, program=None, parent=None, gateway=None,
                      tenant="bound"):
        """One try; returns (attempt id, Result)."""
        gateway = gateway or self.random.choice(self.gateways)
        attempt, body = self._begin(route, body, program, parent, tenant)
        result = Result()
        sent_at = time.monotonic()
        incarnation = gateway.incarnation
        try:
            await asyncio.wait_for(
                self._exchange(gateway, attempt, body, parent, result), self.patience_s
            )
        except (OSError, ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            result.whole = False
        self._note_result(attempt, result)
        gateway.note_end(attempt, result, sent_at, incarnation)
        return attempt.id, result

    def _begin(self, route, body, program, parent, tenant):
        """A new attempt, and the body that is sent."""
        method = "GET" if route is SAFE else "POST"
        body = b"" if method == "GET" else body
        attempt_id = self.new_id()
        target = f"{route.prefix}x?y={attempt_id[:4]}"
        chain = self.promises.chain(parent) if route.stateful else b""
        attempt = Attempt(
            attempt_id, route, method, target, chain + body, program, tenant if self.keys else None
        )
        self.promises.begin(attempt)
        return attempt, body

    def _note_result(self, attempt, result):
        self.promises.note_status(result.status if result.whole or result.status == 0 else "cut")
        attempt.produced.clear()  # Judged by now.

    def _fields(self, attempt, body, parent, deadline_ms=None):
        fields = [
            ("Host", "soak.example"),
            ("Attempt-Id", attempt.id),
            ("Deadline-Milliseconds", deadline_ms or self.deadline_ms),
        ]
        if attempt.tenant is not None:
            fields.append(("Authorization", f"Bearer key-of-{attempt.tenant}"))
        if attempt.program is not None:
            fields += [("Program-Id", attempt.program), ("Session-Id", attempt.program)]
        if attempt.route.stream:
            fields += [("Token-Budget", BUDGET), ("Token-Counts", f"100,{MOST_TOKENS}")]
        if parent is not None:
            fields.append(("Previous-Turn", parent))
        if attempt.method != "GET":
            fields.append(("Content-Length", len(body)))
        return fields

    async def _exchange(self, gateway, attempt, body, parent, result):
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.calls_proxy_port)
        try:
            await self._request(reader, writer, attempt, body, parent, result)
        finally:
            writer.close()

    async def _request(self, reader, writer, attempt, body, parent, result):
        start = f"{attempt.method} {attempt.target} HTTP/1.1"
        writer.write(render(start, self._fields(attempt, body, parent), body))
        await writer.drain()
        result.sent_at = time.monotonic()
        await self._read_answer(reader, attempt, result)

    async def _read_answer(self, reader, attempt, result):
        """Returns the answer's head; None: the connection ended without an answer."""
        message = await read_head(reader)
        if message is None:
            return None
        result.status = message.status
        result.retry_after_s = float(message.get("retry-after", "0"))
        result.closes = message.get("connection", "").lower() == "close"
        if not self.promises.note_answer_head(attempt, message):
            return message
        self.promises.note_refusal(attempt, message.status)
        await self._read_body(reader, attempt, message, result)
        result.whole = True
        self._judge_whole(attempt, message, result)
        return message

    async def _read_body(self, reader, attempt, message, result):
        leave = attempt.route.stream and self.random.random() < self.leave_early_share
        pending, plain = b"", []
        rate = None
        if self.rates is not None and not attempt.route.stream:
            rate = RATE_LEAST * (RATE_MOST / RATE_LEAST) ** self.rates.random()
        async for piece in read_pieces(reader, message, rate):
            if not (attempt.route.stream and message.status == 200):
                plain.append(piece)
                continue
            pending += piece
            while b"\n\n" in pending:
                event, pending = pending.split(b"\n\n", 1)
                self._take_event(attempt, event, result)
            if leave:
                result.left = True
                raise ConnectionError("the caller leaves")
        result.output += b"".join(plain)
        if pending:
            self.promises.break_promise("order", attempt.id, "a stream ended within an event")

    def _take_event(self, attempt, event, result):
        fields = dict(line.split(": ", 1) for line in event.decode().split("\n"))
        number, data = int(fields["id"]), fields["data"]
        result.events += 1
        if number != result.events:
            self.promises.break_promise("order", attempt.id, f"event {number} as {result.events}")
        if data != event_data(attempt.id, attempt.body, number):
            self.promises.break_promise("mixed", attempt.id, f"event {data}")
        result.output += data.encode() + b"\n"
        self.promises.note_tokens(attempt.program, TOKENS_PER_EVENT)

    def _judge_whole(self, attempt, message, result):
        if message.status != 200:
            return
        if attempt.route.stream:
            if result.events != events_of(attempt.id):
                detail = f"{result.events} of {events_of(attempt.id)} events"
                self.promises.break_promise("order", attempt.id, f"ended as whole after {detail}")
        elif result.output not in attempt.produced.values():
            self.promises.break_promise("mixed", attempt.id, "a body that no server made")

    async def turn(self, route, program, parent):
        """One turn with its tries; returns the turn's id and whether the program goes on."""
        for _ in range(TURN_TRIES):
            body = f"input {self.new_id()}\n".encode()
            attempt_id, result = await self.attempt(route, body, program, parent)
            if result.whole and result.status == 200:
                if route.stateful:
                    self.promises.note_turn(attempt_id, parent, body, result.output)
                return attempt_id, True
            if result.status == 404 and parent is not None:
                self.promises.break_promise("lost", attempt_id, f"no such turn: {parent}")
            if result.whole and result.status in FINAL_STATUSES:
                return None, False
            await asyncio.sleep(min(max(result.retry_after_s, 0.1), COME_BACK_MOST_S))
        return None, False

    async def tool(self, route, program):
        """A tool call with the tries that its kind allows."""
        for _ in range(2):
            _, result = await self.attempt(route, b"order", program)
            if result.whole and result.status == 200:
                return True
            if not route.repeatable and result.status not in NOT_RUN_STATUSES:
                return False
            await asyncio.sleep(min(max(result.retry_after_s, 0.05), COME_BACK_MOST_S))
        return False

    async def program(self):
        """A chain of turns with tools between; may go on from an earlier program's turn."""
        program = self.new_id()
        self.promises.budgets[program] = (BUDGET, MOST_TOKENS)
        route = self.random.choice([TURN, TURN, RESUMABLE])
        parent = None
        if route.stateful and self.promises.turns and self.random.random() < 0.2:
            parent = self.random.choice(list(self.promises.turns))
        endless = self.random.random() < 0.1
        for _ in range(100 if endless else self.random.randint(1, 5)):
            turn, goes_on = await self.turn(route, program, parent)
            if not goes_on:
                return
            if route.stateful:
                parent = turn
            if not endless and not await self.tool(self.random.choice([SAFE, UNSAFE]), program):
                return
