#!/usr/bin/env python3
"""Callers that end their side of a connection, against real gateways and storage nodes on loopback.

    ended_input_test.py --build build SCENARIO

Some read on for their answers, others are gone. The last line is JSON. Exit status 0: each caller
that reads on got its whole answer, and no back end worked to the end for one that is gone.
"""

import asyncio
import os
import sys
import time
from collections import Counter

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from callers import RESUMABLE, SAFE, TURN, UNSAFE
from direct_fleet import new_parser, play_and_exit, read_options
from graceful_stop_test import (
    EARLY_S, FAULTS_SHOWN, LATE_S, GracefulFleet, GracefulScenario, KeptCaller, Play, Stop,
    WorkingBackend,
)
from http_message import render

ROUTES = [SAFE, UNSAFE, RESUMABLE, TURN]
PLAYS = {
    "read_on": Play(8, 4, ROUTES),
    "http_1_0": Play(8, 4, ROUTES),
    "sent_ahead": Play(8, 4, [SAFE, UNSAFE]),
    "stopped": Play(8, 4, ROUTES),
    "equal_requests": Play(8, 4, [SAFE]),
    "gone": Play(8, 4, [SAFE, UNSAFE, RESUMABLE]),
    "gone_midway": Play(8, 4, [RESUMABLE]),
}
GONE = {"gone", "gone_midway"}
EQUAL_WORK_S = 1.2  # Much longer than responses to the other calls.
WORK_SHARE = 0.3  # Of the time that a call is given: repeated ones work up to three times.
AHEAD = 3  # Requests that are sent at once.
GONE_WORK_S = 3.6
GONE_AFTER_S = 0.3
LEFT_S = 0.5  # Within so long after a caller's close its back end should know.
LOOK_S = 0.02


class WatchingBackend(WorkingBackend):
    """Notes when its connection ended while it worked."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.readers = {}  # Writer: reader.
        self.left = {}  # Attempt: when the connection ended under it.

    async def _serve(self, reader, writer):
        self.readers[writer] = reader
        await super()._serve(reader, writer)
        self.readers.pop(writer)

    async def _handle(self, request, writer):
        attempt_id = request.get("attempt-id", "-")
        watch = asyncio.ensure_future(self._watch(attempt_id, self.readers[writer]))
        try:
            return await super()._handle(request, writer)
        finally:
            watch.cancel()

    async def _watch(self, attempt_id, reader):
        while not reader.at_eof():
            await asyncio.sleep(LOOK_S)
        self.left[attempt_id] = time.monotonic()


class EndedInputFleet(GracefulFleet):
    def new_backend(self, instance, service):
        return WatchingBackend(self.options.play.places, instance, service, service == "engine",
                               self.random.random(), self.promises)


class EndingCaller(KeptCaller):
    """Ends its side of the connection with its last request, and reads on."""

    version = "HTTP/1.1"

    def _render(self, call):
        attempt = call.attempt
        fields = self._fields(attempt, attempt.body, None, round(call.allowed_s * 1000))
        start = f"{attempt.method} {attempt.target} {self.version}"
        return render(start, fields, attempt.body)

    async def _send(self, reader, writer, call):
        writer.write(self._render(call))
        writer.write_eof()
        await writer.drain()
        call.sent_at = time.monotonic()
        await self._read_answer(reader, call.attempt, call.result)

    async def send_ahead(self, connection, calls):
        """All requests at once, then the end; answers come in their order."""
        reader, writer = connection
        for call in calls:
            self.promises.begin(call.attempt)
            call.begun_at = call.sent_at = time.monotonic()
            writer.write(self._render(call))
        writer.write_eof()
        for call in calls:
            try:
                await asyncio.wait_for(
                    self._read_answer(reader, call.attempt, call.result), AHEAD * call.allowed_s)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                call.result.whole = False
            call.ended_at = time.monotonic()


class EndedInputScenario(GracefulScenario):
    """Calls whose callers have ended their side, beside programs that use any gateway."""

    new_fleet = EndedInputFleet

    async def start(self):
        if not await super().start():
            return False
        self.kept = EndingCaller(self.promises, self.cluster.gateways,
                                 f"ended input {self.options.seed}")
        return True

    def new_call(self, route, work_s, allowed_s, size=0, **settings):
        if self.options.scenario == "equal_requests":
            return super().new_call(route, EQUAL_WORK_S, self.options.play.timeout_s)
        if self.options.scenario not in GONE:
            work_s = min(work_s, allowed_s * WORK_SHARE)
        call = super().new_call(route, work_s, allowed_s, size, **settings)
        call.attempt.target += f"&call={call.attempt.id}"  # No two requests are equal.
        return call

    async def read_on(self):
        gateway = self.cluster.gateways[0]
        never = Stop(gateway, self.grace_s)
        await asyncio.gather(*(self.call_once(gateway, never, self.draw_call(),
                                              self.random.uniform(0.0, EARLY_S))
                               for _ in range(self.options.play.callers)))
        return self.report()

    async def http_1_0(self):
        self.kept.version = "HTTP/1.0"
        return await self.read_on()

    async def equal_requests(self):
        """All callers send the same request, which takes long."""
        return await self.read_on()

    async def sent_ahead(self):
        gateway = self.cluster.gateways[0]
        never = Stop(gateway, self.grace_s)
        await asyncio.gather(*(self.send_ahead(gateway, never)
                               for _ in range(self.options.play.callers // AHEAD)))
        return self.report()

    async def send_ahead(self, gateway, stop):
        connection = await self.kept.connect(gateway)
        calls = [self.draw_call() for _ in range(AHEAD)]
        await self.kept.send_ahead(connection, calls)
        connection[1].close()
        self.calls += [(call, stop) for call in calls]

    async def stopped(self):
        """Calls that came before the signal of a planned stop."""
        gateway = self.cluster.gateways[0]
        stop = self.begin_stop(gateway)
        calls = [asyncio.ensure_future(
            self.call_once(gateway, stop, self.draw_call(), self.random.uniform(0.0, EARLY_S)))
                 for _ in range(self.options.play.callers)]
        await asyncio.sleep(EARLY_S + LATE_S)
        await self.stop_gateway(gateway, stop)
        await asyncio.gather(*calls)
        return self.report()

    # Callers that are gone.

    async def leave(self, gateway, call):
        """Closes the connection under a call; returns when."""
        reader, writer = await self.kept.connect(gateway)
        self.promises.begin(call.attempt)
        writer.write(self.kept._render(call))
        await asyncio.sleep(GONE_AFTER_S)
        if self.options.scenario == "gone_midway":
            await asyncio.wait_for(reader.readuntil(b"\n\n"), call.allowed_s)
        writer.close()
        return call.attempt, time.monotonic()

    async def gone(self):
        gateway = self.cluster.gateways[0]
        allowed_s = self.options.play.timeout_s
        routes = self.options.play.routes
        calls = [self.new_call(routes[number % len(routes)], GONE_WORK_S, allowed_s)
                 for number in range(self.options.play.callers)]
        left = await asyncio.gather(*(self.leave(gateway, call) for call in calls))
        await asyncio.sleep(GONE_WORK_S + LATE_S)
        return self.report_gone(left)

    async def gone_midway(self):
        """They leave after the first event; the next one comes much later."""
        return await self.gone()

    def report_gone(self, left):
        backends = [backend for backend, _ in self.fleet.backends]
        ran, late, worked_on = 0, [], 0
        for attempt, closed_at in left:
            ran += bool(attempt.runs)
            for backend in backends:
                if attempt.id in backend.left:
                    late.append(round(backend.left[attempt.id] - closed_at, 3))
            worked_on += sum(any(backend.instance == instance and attempt.id not in backend.left
                                 for backend in backends) for instance, _ in attempt.runs)
        late.sort()
        return {"seed": self.options.seed, "calls": len(left), "ran": ran, "worked_on": worked_on,
                "late_s": late[-FAULTS_SHOWN:], "over": sum(one > LEFT_S for one in late),
                "held": ran > 0 and worked_on == 0}

    # The judgement.

    def judge(self):
        faults = [(f"{call.result.status or 'no answer'}", call.attempt.route.prefix,
                   len(call.attempt.runs), round(call.ended_at - call.begun_at, 2))
                  for call, _ in self.calls
                  if not call.result.whole or call.result.status != 200]
        return faults

    def report(self):
        report = super().report()
        report["faults"] = Counter(f"{fault[0]} {fault[1]}" for fault in self.judge())
        report["passed_on"] = sum(fault[2] > 0 for fault in self.judge())
        return report


def main():
    parser = new_parser(__doc__, "ended-input", list(PLAYS))
    parser.set_defaults(programs=4)
    options = read_options(parser)
    options.play = PLAYS[options.scenario]
    play_and_exit(EndedInputScenario, options)


if __name__ == "__main__":
    main()
