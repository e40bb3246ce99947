"""Programs that take turns at gateways, as PROTOCOL.md says."""

import asyncio
import time

import cluster as shared
from http_message import read_head, read_pieces, render

DEADLINE_MS = 4000
BUDGET = 100000
MOST = 288
PROGRAM_MS = 90000
GAP_S = 2.0  # A client gives a stream up after such a gap.


class Answer:
    """What one try got."""

    def __init__(self, attempt_id):
        self.id = attempt_id
        self.status = 0  # 0: the connection ended, or nothing came in time.
        self.whole = False
        self.data = []  # Of the events.
        self.last_event_at = 0.0
        self.ended_at = 0.0
        self.retry_after_s = 0.0

    @property
    def served(self):
        return self.whole and self.status == 200


class Client:
    """Sends turns and notes what it gets."""

    def __init__(self, cluster, input_bytes=0):
        self.cluster = cluster
        self.input_bytes = input_bytes  # At least.
        self.turns = {}  # Attempt id of a turn answered whole: (parent, input, output).
        self.begun_at = {}  # Program: when its first turn was sent.
        self.count = 0

    def new_id(self):
        return f"{self.cluster.random.getrandbits(64):016x}"

    def prompt(self, previous):
        """What the server is to get before the new input."""
        text = ""
        while previous is not None:
            parent, given, output = self.turns[previous]
            text = given + output + text
            previous = parent
        return text

    async def turn(self, gateway, program, previous=None, name="turn", budget=BUDGET, most=MOST,
                   session=None):
        """One try of one turn; a program's lines of turns have sessions of their own."""
        self.count += 1
        answer = Answer(self.new_id())
        given = f"input of {answer.id}\n".rjust(self.input_bytes, "x")
        begun_at = self.begun_at.setdefault(program, time.monotonic())
        program_ms = PROGRAM_MS - round((time.monotonic() - begun_at) * 1000)
        fields = [
            ("Host", shared.HOST), ("Attempt-Id", answer.id), ("Model", "m"),
            ("Program-Id", program), ("Session-Id", session or program), ("Program-Deadline", program_ms),
            ("Token-Budget", budget), ("Token-Counts", f"100,{most}"),
            ("Prompt-Prefix", f"5c1e07a2:50,{program}:50"), ("Deadline-Milliseconds", DEADLINE_MS),
            ("Content-Length", len(given)),
        ]
        if previous is not None:
            fields.append(("Previous-Turn", previous))
        self.cluster.record.note("sent", answer.id, f"{name} to {gateway.name}",
                                 f"previous={previous or '-'}")
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*gateway.calls), 1.0)
            writer.write(render("POST /advisor/x HTTP/1.1", fields, given.encode()))
            await self._read(reader, answer)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()
        answer.ended_at = time.monotonic()
        if answer.served:
            output = "".join(data + "\n" for data in answer.data)
            self.turns[answer.id] = (previous, given, output)
        self.cluster.record.note("answer", answer.id, f"{name} from {gateway.name}",
                                 answer.status or "none", "whole" if answer.whole else "not whole",
                                 f"events={len(answer.data)}")
        return answer

    async def _read(self, reader, answer):
        message = await asyncio.wait_for(read_head(reader), DEADLINE_MS / 1000)
        if message is None:
            return
        answer.status = message.status
        answer.retry_after_s = float(message.get("retry-after", "0"))
        pieces = read_pieces(reader, message)
        text = b""
        while True:
            try:
                piece = await asyncio.wait_for(pieces.__anext__(), GAP_S)
            except StopAsyncIteration:
                break
            text += piece
            while answer.status == 200 and b"\n\n" in text:
                event, text = text.split(b"\n\n", 1)
                answer.data.append(event.decode().split("data: ", 1)[1])
                answer.last_event_at = time.monotonic()
        answer.whole = True

    async def turn_until_served(self, gateways, program, previous=None, name="turn", for_s=10.0):
        """Tries as a program does, at one gateway after the other; None if it is never served."""
        until = time.monotonic() + for_s
        tries = 0
        while time.monotonic() < until:
            gateway = gateways[tries % len(gateways)]
            tries += 1
            answer = await self.turn(gateway, program, previous, name)
            if answer.served:
                return answer
            await asyncio.sleep(min(max(answer.retry_after_s, 0.1), 0.4))
        return None


async def wait_until_ready(cluster, client, for_s=20.0):
    """True once each gateway has served a first turn."""
    for gateway in cluster.gateways:
        program = client.new_id()[:6]
        if await client.turn_until_served([gateway], program, name="first turn", for_s=for_s) is None:
            return False
    return True
