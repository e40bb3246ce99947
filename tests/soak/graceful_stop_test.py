#!/usr/bin/env python3
"""Gateways that are stopped as planned under calls, with real storage nodes on loopback.

    graceful_stop_test.py --build build SCENARIO

Callers go on using their connections to a gateway that is told to stop, until it is gone or closes
them; some connect to it again. The last line is JSON. Exit status 0: each call that a back end
received, or that was wholly sent, got a whole answer, and each process ended by itself in its grace
period.
"""

import asyncio
import math
import os
import random
import re
import socket
import sys
import time
from collections import Counter
from urllib.parse import parse_qs, urlsplit

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from backends import Backend, events_of
from callers import RESUMABLE, SAFE, TURN, UNSAFE, Caller, Result
from direct_fleet import Fleet, Scenario, new_parser, play_and_exit, read_options
from http_message import render
from promises import Attempt

PLAIN, STREAMS = [SAFE, UNSAFE], [TURN, RESUMABLE]
CALLERS = 60
PLACES = 100  # Of a back end, unless the play says less.
WORK_LEAST_S, WORK_SHARE = 0.02, 0.95  # Of the time that a call is given.
EVENT_PAUSE_MOST_S = 0.8  # Streams that are silent for longer are taken for lost.
PAUSE_MOST_S = 0.6  # Of a caller between its calls.
RECONNECT_SHARE = 0.7
SHORT_SHARE = 0.3  # Of calls with a deadline before the route's timeout.
EARLY_S = 1.0  # Callers begin so long before the signal.
UNREAD_S = 0.2  # A request that was sent so long before its connection ended counts.
LATE_S = 0.2  # Between what a process and this one hold for the time.
END_S = 1.0  # The last part of a grace period, in which calls that can't end in it may fail.
EXIT_LATE_S = 0.5
PATIENCE_S = 3.0  # Of callers, beyond what their call may take.
RECEIVE_BYTES, PIECE_BYTES = 65536, 16384
MEGABYTE = 1000 * 1000
FAULTS_SHOWN = 12
LARGE = [(8, 1.6), (8, 1.6), (8, 1.6), (15, 3.0)]  # MB of an answer, and MB read a second.
STEADY_MB, STEADY_S, IDLE_S = 12, 4.0, 1.5
DRAWN_STOPS = 3  # Of each gateway but one.


class Play:
    """What is drawn for a scenario's calls and stops."""

    def __init__(self, grace_s, timeout_s, routes=None, **settings):
        self.grace_s = grace_s
        self.timeout_s = timeout_s
        self.routes = routes or PLAIN
        self.callers = settings.get("callers", CALLERS)
        self.body_late_s = settings.get("body_late_s", 0.0)
        self.places = settings.get("places", PLACES)
        self.refuse = settings.get("refuse", 0.0)  # Share of requests that back ends refuse.
        self.event_pause_s = settings.get("event_pause_s", EVENT_PAUSE_MOST_S)  # At most.


PLAYS = {
    "grace_8_calls_4": Play(8, 4, PLAIN + STREAMS),
    "grace_6_calls_4": Play(6, 4),
    "grace_4_calls_3": Play(4, 3),
    "grace_8_calls_10": Play(8, 10),
    "long_calls": Play(4, 10),
    "late_bodies": Play(4, 3, PLAIN + [UNSAFE], body_late_s=1.0, places=4, refuse=0.1),
    "streams": Play(4, 3, STREAMS),
    "long_streams": Play(4, 10, STREAMS),
    "overlapping": Play(4, 3, PLAIN + [TURN], callers=40),
    "large_answers": Play(8, 4, callers=0),
    "steady_reader": Play(6, 4, callers=0),
    "slow_back_ends": Play(6, 10, [SAFE, RESUMABLE], event_pause_s=math.inf),
}


def draw_play(draw):
    """Grace periods, timeouts and kinds of calls in any combination."""
    return Play(draw.choice([4, 6, 8]), draw.choice([3, 4, 10]),
                draw.choice([PLAIN, [UNSAFE], STREAMS, PLAIN + STREAMS]),
                callers=draw.randint(20, 60), body_late_s=draw.choice([0.0, 0.0, 1.0]),
                places=draw.choice([2, 4, PLACES]), refuse=draw.choice([0.0, 0.0, 0.1]))


class WorkingBackend(Backend):
    """Works as long, and answers as much, as the request's target says."""

    def __init__(self, places, *arguments):
        super().__init__(*arguments)
        self.places = asyncio.Semaphore(places)

    @staticmethod
    def _asked(request, name):
        return float(parse_qs(urlsplit(request.target).query).get(name, ["0"])[0])

    async def _work(self, request):
        async with self.places:
            await asyncio.sleep(self._asked(request, "work"))

    def _answer_body(self, request, attempt_id):
        body = super()._answer_body(request, attempt_id)
        return body * max(1, int(self._asked(request, "size")) // len(body))

    def _event_pause_s(self, request, attempt_id):
        work_s = self._asked(request, "work")
        if work_s == 0:
            return super()._event_pause_s(request, attempt_id)
        return work_s / events_of(attempt_id)


class GracefulFleet(Fleet):
    def __init__(self, options, *arguments):
        super().__init__(options, *arguments)
        self.timeout_ms = round(options.play.timeout_s * 1000)
        if options.scenario == "steady_reader":
            self.idle_timeout_ms = round(IDLE_S * 1000)

    def new_backend(self, instance, service):
        backend = WorkingBackend(self.options.play.places, instance, service, service == "engine",
                                 self.random.random(), self.promises)
        backend.faults["refuse"] = self.options.play.refuse
        return backend


class Call:
    """A request on a connection that may be used again, and what came of it."""

    def __init__(self, attempt, allowed_s, work_s, body_late_s=0.0, read_mb_s=0.0, size=0):
        self.attempt = attempt
        self.allowed_s = allowed_s  # The earlier of the deadline and the route's timeout.
        self.work_s = work_s
        self.body_late_s = body_late_s
        self.read_mb_s = read_mb_s  # 0: as fast as it comes.
        self.read_s = size / MEGABYTE / read_mb_s if read_mb_s > 0 else 0.0
        self.rest_s = 0.0  # Before it reads anything.
        self.result = Result()
        self.begun_at = self.sent_at = self.ended_at = None
        self.closes = self.has_retry_after = False

    @property
    def due(self):
        return self.begun_at + self.allowed_s

    def judged(self):
        """True if it must get an answer: a back end has it, or the gateway had time to read it."""
        sent = self.sent_at is not None and self.ended_at - self.sent_at > UNREAD_S
        return bool(self.attempt.runs) or sent


class KeptCaller(Caller):
    """Uses its connections again, sends bodies late and may read slowly."""

    leave_early_share = 0.0

    @staticmethod
    async def connect(gateway):
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(connection, ("127.0.0.1", gateway.calls_port))
        except OSError:
            connection.close()
            raise
        return await asyncio.open_connection(sock=connection, limit=RECEIVE_BYTES)

    async def send(self, connection, call):
        self.promises.begin(call.attempt)
        call.begun_at = time.monotonic()
        patience = call.allowed_s + call.body_late_s + call.read_s + call.rest_s + PATIENCE_S
        try:
            await asyncio.wait_for(self._send(*connection, call), patience)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            call.result.whole = False
        call.ended_at = time.monotonic()

    async def _send(self, reader, writer, call):
        attempt = call.attempt
        body = attempt.body
        fields = self._fields(attempt, body, None, round(call.allowed_s * 1000))
        writer.write(render(f"{attempt.method} {attempt.target} HTTP/1.1", fields))
        answer = asyncio.ensure_future(self._read_slowly(reader, call))
        try:
            if call.body_late_s > 0:
                await asyncio.wait({answer}, timeout=call.body_late_s)
            if not answer.done():
                writer.write(body)
                await writer.drain()
                call.sent_at = time.monotonic()
            message = await answer
        finally:
            answer.cancel()
        if message is not None:
            call.closes = message.get("connection", "").lower() == "close"
            call.has_retry_after = message.get("retry-after") is not None

    async def _read_slowly(self, reader, call):
        await asyncio.sleep(call.rest_s)
        reader = SlowReader(reader, call.read_mb_s)
        return await self._read_answer(reader, call.attempt, call.result)


class SlowReader:
    """A stream reader that takes bodies at a steady rate."""

    def __init__(self, reader, mb_s):
        self.reader = reader
        self.bytes_s = mb_s * MEGABYTE

    async def readuntil(self, separator):
        return await self.reader.readuntil(separator)

    async def readexactly(self, length):
        if self.bytes_s == 0:
            return await self.reader.readexactly(length)
        data, begun_at = bytearray(), time.monotonic()
        while len(data) < length:
            piece = await self.reader.read(min(PIECE_BYTES, length - len(data)))
            if not piece:
                raise asyncio.IncompleteReadError(bytes(data), length)
            data += piece
            await asyncio.sleep(begun_at + len(data) / self.bytes_s - time.monotonic())
        return bytes(data)


class Stop:
    """One planned stop of a gateway."""

    def __init__(self, gateway, grace_s):
        self.name = gateway.name
        self.process = gateway.process
        self.grace_s = grace_s
        self.term_at = math.inf
        self.exit_s = None
        self.cut_off = None

    @property
    def end(self):
        return self.term_at + self.grace_s

    def fault_of_answer(self, call):
        """What of a whole answer breaks a promise; None: nothing."""
        status = call.result.status
        bound = not call.attempt.route.repeatable
        fresh = call.begun_at > self.term_at + LATE_S
        if status == 200:
            return None
        if status == 503:
            return None if call.has_retry_after else "refused without Retry-After"
        if status not in (502, 504):
            return f"unexpected status {status}"
        if fresh and bound and (status == 502 or call.ended_at < call.due - LATE_S):
            return f"{status} to a call taken after the signal"
        never = self.term_at == math.inf
        if (bound or never) and call.ended_at < min(call.due, self.end - END_S) - LATE_S:
            return f"{status} though there was time"
        return None

    def may_be_cut(self, call):
        """True if nothing better than its end was left to the call."""
        route = call.attempt.route
        at_end = call.ended_at >= self.end - END_S
        fresh = call.begun_at > self.term_at + LATE_S
        if call.read_s > 0:
            return at_end and call.begun_at + call.work_s + call.read_s > self.end - END_S
        if not route.stream:
            return False
        if call.ended_at >= call.due - LATE_S:
            return True
        return at_end and call.due > self.end - END_S and (route.repeatable or not fresh)

    def fault_of(self, call):
        """What of the call breaks a promise; None: nothing."""
        bound = not call.attempt.route.repeatable
        fresh = call.begun_at > self.term_at + LATE_S
        if bound and fresh and call.due > self.end + LATE_S and call.attempt.runs:
            return "ran though it could outlast the process"
        if call.result.whole:
            return self.fault_of_answer(call)
        if not call.judged() or self.may_be_cut(call):
            return None
        return "no answer" if call.result.status == 0 else f"{call.result.status} cut"

    def report(self):
        return {"gateway": self.name, "exit_s": self.exit_s, "status": self.process.poll(),
                "cut_off": self.cut_off}


class GracefulScenario(Scenario):
    """Calls under stops, beside programs that use any gateway."""

    new_fleet = GracefulFleet

    def __init__(self, options):
        super().__init__(options)
        self.grace_s = options.play.grace_s
        self.calls = []  # (Call, Stop)
        self.stops = []
        if not hasattr(self, options.scenario):
            setattr(self, options.scenario, self.one_stop)

    async def start(self):
        if not await super().start():
            return False
        self.kept = KeptCaller(self.promises, self.cluster.gateways,
                               f"graceful stop {self.options.seed}")
        return True

    # Callers.

    def draw_call(self):
        play = self.options.play
        allowed_s = play.timeout_s
        if self.random.random() < SHORT_SHARE:
            allowed_s *= self.random.uniform(0.3, 1.0)
        route = self.random.choice(play.routes)
        late_s = 0.0 if route is SAFE else self.random.uniform(0.0, play.body_late_s)
        work_s = self.random.uniform(WORK_LEAST_S, allowed_s * WORK_SHARE)
        return self.new_call(route, work_s, allowed_s, body_late_s=late_s)

    def new_call(self, route, work_s, allowed_s, size=0, **settings):
        method, body = ("GET", b"") if route is SAFE else ("POST", b"input\n")
        attempt_id, program = self.kept.new_id(), self.kept.new_id() if route.stream else None
        if route.stream:
            work_s = min(work_s, events_of(attempt_id) * self.options.play.event_pause_s)
        target = f"{route.prefix}stop?work={work_s:.3f}&size={size}"
        attempt = Attempt(attempt_id, route, method, target, body, program)
        return Call(attempt, allowed_s, work_s, size=size, **settings)

    async def call_until_closed(self, gateway, stop):
        """Calls on one connection until it ends; False if there was none."""
        try:
            connection = await self.kept.connect(gateway)
        except OSError:
            return False
        try:
            while True:
                await asyncio.sleep(self.random.uniform(0.0, PAUSE_MOST_S))
                call = self.draw_call()
                await self.kept.send(connection, call)
                self.calls.append((call, stop))
                if call.closes or not call.result.whole:
                    return True
        finally:
            connection[1].close()

    async def call_until_gone(self, gateway, stop):
        """What one caller does until the process has ended."""
        reconnects = self.random.random() < RECONNECT_SHARE
        await asyncio.sleep(self.random.uniform(0.0, PAUSE_MOST_S))
        while stop.process.poll() is None and await self.call_until_closed(gateway, stop):
            if not reconnects:
                return

    # Stops.

    async def stop_gateway(self, gateway, stop):
        """SIGTERM; the process is killed soon after its grace period."""
        stop.term_at = time.monotonic()
        await self.cluster.stop_planned(gateway, EXIT_LATE_S)
        stop.exit_s = round(time.monotonic() - stop.term_at, 2)
        found = re.findall(r"^.*E822 .*cut_off=(\d+)", gateway.log_text(), re.M)
        stop.cut_off = int(found[-1]) if found else None

    def begin_stop(self, gateway):
        stop = Stop(gateway, self.grace_s)
        self.stops.append(stop)
        return stop

    async def stop_under_calls(self, gateway, delay_s=0.0):
        stop = self.begin_stop(gateway)
        callers = [asyncio.ensure_future(self.call_until_gone(gateway, stop))
                   for _ in range(self.options.play.callers)]
        await asyncio.sleep(EARLY_S + delay_s)
        await self.stop_gateway(gateway, stop)
        await asyncio.gather(*callers)

    async def one_stop(self):
        await self.stop_under_calls(self.cluster.gateways[0])
        return self.report()

    async def overlapping(self):
        """Two gateways, the second within the first one's grace period."""
        first, second = self.cluster.gateways[:2]
        await asyncio.gather(self.stop_under_calls(first),
                             self.stop_under_calls(second, self.random.uniform(0.3, 2.5)))
        return self.report()

    async def drawn(self):
        """Stops in series that overlap; a gateway starts again after each."""
        await asyncio.gather(*(self.stop_in_series(gateway)
                               for gateway in self.cluster.gateways[1:]))
        return self.report()

    async def stop_in_series(self, gateway):
        for _ in range(DRAWN_STOPS):
            await self.stop_under_calls(gateway, self.random.uniform(0.0, 2.5))
            gateway.start()
            await self._wait_for(f"{gateway.name} serves turns",
                                 lambda: self._serves_turns(gateway))

    # Calls of their own connections.

    async def call_once(self, gateway, stop, call, delay_s=0.0):
        connection = await self.kept.connect(gateway)
        await asyncio.sleep(delay_s)
        await self.kept.send(connection, call)
        connection[1].close()
        self.calls.append((call, stop))

    def large_call(self, size_mb, read_mb_s):
        return self.new_call(self.random.choice(PLAIN), WORK_LEAST_S, self.options.play.timeout_s,
                             size=size_mb * MEGABYTE, read_mb_s=read_mb_s)

    async def large_answers(self):
        gateway = self.cluster.gateways[0]
        stop = self.begin_stop(gateway)
        readers = [
            asyncio.ensure_future(self.call_once(gateway, stop, self.large_call(*large),
                                                 EARLY_S + self.random.uniform(-0.4, 0.4)))
            for large in LARGE]
        await asyncio.sleep(EARLY_S)
        await self.stop_gateway(gateway, stop)
        await asyncio.gather(*readers)
        return self.report()

    async def steady_reader(self):
        """No stop: an answer that is read all the time takes longer than a connection may idle."""
        gateway = self.cluster.gateways[0]
        never = Stop(gateway, self.grace_s)
        readers = [self.call_once(gateway, never, self.large_call(STEADY_MB, STEADY_MB / STEADY_S))
                   for _ in range(3)]
        *_, rested = await asyncio.gather(*readers, self.rest(gateway))
        report = self.report()
        report["rested"] = str(rested.status) if rested.whole else "cut"
        report["held"] = report["held"] and not rested.whole
        return report

    async def rest(self, gateway):
        """A caller that reads nothing for longer than a connection may idle loses its answer."""
        reader, writer = await self.kept.connect(gateway)
        call = self.new_call(UNSAFE, WORK_LEAST_S, self.options.play.timeout_s,
                             size=STEADY_MB * MEGABYTE)
        call.rest_s = STEADY_S
        await self.kept.send((reader, writer), call)
        writer.close()
        return call.result

    async def slow_back_ends(self):
        """No stop: calls that can be repeated, on which sound back ends work for long."""
        gateway = self.cluster.gateways[0]
        never = Stop(gateway, self.grace_s)
        await asyncio.gather(*(self.call_once(gateway, never, self.draw_call(),
                                              self.random.uniform(0.0, EARLY_S))
                               for _ in range(self.options.play.callers)))
        return self.report()

    # The judgement.

    def judge(self):
        """What broke a promise: fault, route, and seconds from the signal to its begin and end."""
        faults = []
        for call, stop in self.calls:
            fault = stop.fault_of(call)
            if fault is not None:
                term_at = stop.term_at if stop.term_at < math.inf else call.begun_at
                times = [round(at - term_at, 2) for at in (call.begun_at, call.ended_at)]
                faults.append((fault, call.attempt.route.prefix, *times))
        return faults

    def cuts_allowed(self):
        play = self.options.play
        return any(route.stream for route in play.routes) and play.timeout_s > play.grace_s

    def stop_held(self, stop):
        return (stop.process.poll() == 0 and stop.exit_s <= stop.grace_s + EXIT_LATE_S and
                stop.cut_off is not None and (stop.cut_off == 0 or self.cuts_allowed()))

    def report(self):
        faults = self.judge()
        calls = [call for call, _ in self.calls]
        results = Counter(str(call.result.status) if call.result.whole else "cut" for call in calls)
        taken = sum(call.begun_at > stop.term_at and bool(call.attempt.runs)
                    for call, stop in self.calls)
        return {"seed": self.options.seed, "calls": len(calls), "results": results,
                "run_after_signal": taken, "faults": Counter(fault[0] for fault in faults),
                "shown": faults[:FAULTS_SHOWN],
                "stops": [stop.report() for stop in self.stops],
                "held": bool(calls) and not faults and all(map(self.stop_held, self.stops))}


def main():
    parser = new_parser(__doc__, "graceful-stop", [*PLAYS, "drawn"])
    parser.set_defaults(programs=4)
    options = read_options(parser)
    options.play = PLAYS.get(options.scenario) or draw_play(random.Random(options.seed))
    play_and_exit(GracefulScenario, options)


if __name__ == "__main__":
    main()
