#!/usr/bin/env python3
"""Requests under which back ends end, against real gateways and storage nodes on loopback.

    crash_request_test.py --build build SCENARIO

The last line is JSON. Exit status 0: the scenario's limits held.
"""

import asyncio
import math
import os
import re
import signal
import socket
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import soak
from backends import Backend, event_data
from callers import RESUMABLE, SAFE
from direct_fleet import Fleet, Scenario, new_parser, play_and_exit, read_options
from http_message import read_head, read_pieces, render, render_answer, render_chunk
from promises import Attempt
from proxy import reset

POLLERS = 12
ENDED_MAX = 3  # Back ends that may end under one request.
REFUSED_SHARE_MAX = 0.05  # Of equal requests of many callers, for crashes that they did not cause.
PAUSE_S = 0.1
UNFOUNDED_SHARE_MAX = 0.001  # Of attempts, where no back end ends.
RESETS = 15
TRIES = 3
SEVERAL = 3
SILENCE_S = 60.0
QUEUED = 4
DELAY_S = 1.0  # Longer than two connections are waited for.
DELAYS_APART_S = 2.5  # Longer than crashes of one silent back end count as the same.
DELAY_SCENARIOS = ["connections_delayed", "delayed_in_series"]
RUN_MAX_S = 2.0
FROZEN_S = 1.5  # How long a gateway stands still.
NODE_FAULT_MAX_S = 0.03  # After a back end's end.
PERSISTENT_S = 70.0  # Longer than a stop lasts.
STAYS_S = 130.0  # Longer than a stop and the time after it in which one crash is enough.
BODY = b"crash"
LIMIT_REASON = "reason=backends_ended"
SEND_FAILED = "GATEWAY_SEND_FAILED"
BROKEN = ["no_answer", "broken_answer", "unreachable"]  # Of sends that the back end may have received.


def clock_text(at):
    """A time of time.monotonic() as the nodes' logs have it."""
    wall = at + time.time() - time.monotonic()
    return time.strftime("%H:%M:%S", time.gmtime(wall)) + f".{int(wall % 1 * 1000):03d}"


class CrashingBackend(Backend):
    """Ends when it runs the request with BODY, after some of its events."""

    def __init__(self, fleet, *arguments):
        super().__init__(*arguments)
        self.fleet = fleet
        self.process = 0  # Number of the process that serves under its id.
        self.served_from = 0.0  # When the process serves that follows one which has ended.
        self.lingers = False  # Its port takes connections though the process has ended.

    def end_but_listener(self):
        """The process ends; its port takes connections for longer, which nobody serves."""
        self.lingers = True
        for writer in list(self.connections):
            reset(writer)

    def serve_on_after(self, seconds):
        """The process ends; the next one serves the connections that its port takes meanwhile."""
        self.served_from = time.monotonic() + seconds
        for writer in list(self.connections):
            reset(writer)

    async def _serve(self, reader, writer):
        if self.served_from > time.monotonic():
            await asyncio.sleep(self.served_from - time.monotonic())
        if not self.server.is_serving() and not hasattr(self, "blocker"):
            reset(writer)  # Accepted by the process just before it ended.
            return None
        if not self.lingers:
            return await super()._serve(reader, writer)
        self.connections.add(writer)
        try:
            await reader.read()
        except OSError:
            pass
        self.connections.discard(writer)
        writer.close()

    async def _stream(self, request, attempt_id, fields, writer):
        if not request.body.endswith(BODY):
            return await super()._stream(request, attempt_id, fields, writer)
        self.fleet.sends.append((time.monotonic(), self.instance))
        process = self.process
        if self.fleet.options.scenario in DELAY_SCENARIOS:
            return await self._break_in_delay(request, attempt_id, fields, writer)
        if self.fleet.options.errors and len(self.fleet.sends) % 2 == 0:
            writer.write(render_answer(500, fields, b"failed"))
            return True
        if self.fleet.options.events > 0:
            fields = fields + [("Transfer-Encoding", "chunked")]
            writer.write(render("HTTP/1.1 200 OK", fields))
        first = int(request.get("last-event-id", "0")) + 1
        for number in range(first, first + self.fleet.options.events):
            data = event_data(attempt_id, request.body, number)
            writer.write(render_chunk(f"id: {number}\ndata: {data}\n\n".encode()))
            await writer.drain()
            await asyncio.sleep(0.01)
        await asyncio.sleep(self.fleet.options.run_s)
        if self.process != process:  # It has ended under an earlier send.
            return False
        self.fleet.end(self)
        if self.fleet.options.silent:
            await asyncio.sleep(SILENCE_S)
        reset(writer)
        return False

    async def _break_in_delay(self, request, attempt_id, fields, writer):
        """The connection breaks while no new one comes up anywhere; the back end lives."""
        if len(self.fleet.sends) > 1 and self.fleet.options.scenario == "connections_delayed":
            return await super()._stream(request, attempt_id, fields, writer)
        self.fleet.delay_connections()
        reset(writer)
        return False

    def fall_silent(self):
        """No connection comes up any more, and those that are open say nothing."""
        self.server.close()
        self.blocker = socket.create_server(("127.0.0.1", self.port), backlog=0)
        self.waiting = []
        for _ in range(QUEUED):  # The kernel drops further attempts while the queue is full.
            waiting = socket.socket()
            waiting.setblocking(False)
            waiting.connect_ex(("127.0.0.1", self.port))
            self.waiting.append(waiting)

    async def come_back(self):
        for waiting in self.waiting:
            waiting.close()
        self.blocker.close()
        del self.blocker
        await self.start(self.port)

    async def _handle(self, request, writer):
        give_up_at = time.monotonic() + SILENCE_S
        while hasattr(self, "blocker"):
            await asyncio.sleep(0.01)
            if time.monotonic() >= give_up_at:
                return False
        return await super()._handle(request, writer)


class CrashFleet(Fleet):
    """Back ends that end under the request with BODY."""

    def __init__(self, options, *arguments):
        super().__init__(options, *arguments)
        self.sends = []  # (time, instance) of the request that ends back ends.
        self.ends = []
        self.ended = set()  # Instances that ended, for whatever cause.
        self.on_end = None  # Called as a back end ends under the request, before it is noticed.

    def new_backend(self, instance, service):
        backend = CrashingBackend(self, instance, service, service == "engine",
                                  self.random.random(), self.promises)
        backend.pace = self.options.pace
        return backend

    def attempts(self, route):
        return 1 if self.options.scenario in DELAY_SCENARIOS else super().attempts(route)

    def end(self, backend):
        """The process of the back end ends under the request."""
        backend.process += 1
        self.ends.append((time.monotonic(), backend.instance))
        self.ended.add(backend.instance)
        if self.on_end is not None:
            self.on_end()
        if not self.options.silent:
            self.crash(backend)
            return
        backend.fall_silent()
        self.tasks.append(asyncio.ensure_future(self.replace(backend)))

    def crash(self, backend):
        if self.options.served_on_s is not None:
            backend.serve_on_after(self.options.served_on_s)
            return
        if self.options.listener_s == 0:
            super().crash(backend)
            return
        backend.end_but_listener()
        if math.isfinite(self.options.listener_s):
            asyncio.get_running_loop().call_later(self.options.listener_s, backend.stop)
        self.tasks.append(asyncio.ensure_future(self.replace(backend)))

    def delay_connections(self):
        """As behind a long queue at the gateways: for DELAY_S no connection comes up, and requests
        on open ones wait."""
        delayed = [backend for backend, _ in self.backends]
        if any(hasattr(backend, "blocker") for backend in delayed):
            return
        for backend in delayed:
            backend.fall_silent()
        self.tasks.append(asyncio.ensure_future(self.end_delay(delayed)))

    async def end_delay(self, delayed):
        await asyncio.sleep(DELAY_S)
        for backend in delayed:
            await backend.come_back()


class CrashScenario(Scenario):
    """A request under which back ends end, beside programs."""

    new_fleet = CrashFleet

    def __init__(self, options):
        super().__init__(options)
        self.statuses = []
        self.attempts = set()  # Of the request that ends back ends.

    async def send_once(self, gateway, fields, last_event, first_id):
        """One try of the request that ends back ends; returns (id, status, last event, pause)."""
        attempt_id = self.caller.new_id()
        self.attempts.add(attempt_id)
        self.promises.begin(Attempt(attempt_id, RESUMABLE, "POST", "/resumable/x", BODY, None))
        fields = fields + [("Attempt-Id", attempt_id), ("Content-Length", len(BODY))]
        if last_event > 0:
            fields += [("Last-Event-Id", last_event), ("Resumes", first_id)]
        status, pause = 0, PAUSE_S
        begun_at = time.monotonic()
        writer = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", gateway.calls_port)
            writer.write(render("POST /resumable/x HTTP/1.1", fields, BODY))
            give_up_at = time.monotonic() + self.options.patience
            message = await asyncio.wait_for(read_head(reader), self.options.patience)
            status = message.status if message is not None else 0
            pause = max(PAUSE_S, float(message.get("retry-after", "0"))) if message else PAUSE_S
            pieces = read_pieces(reader, message)
            while (left := give_up_at - time.monotonic()) > 0:
                piece = await asyncio.wait_for(anext(pieces), left)
                for number in re.findall(rb"^id: (\d+)$", piece, re.M):
                    last_event = int(number)
        except (OSError, AttributeError, asyncio.IncompleteReadError, asyncio.TimeoutError,
                StopAsyncIteration):
            pass
        finally:
            if writer is not None:
                writer.close()
        self.statuses.append((gateway.name, status, round(pause, 3), clock_text(begun_at),
                              clock_text(time.monotonic())))
        return attempt_id, status, last_event, min(pause, 1.0)

    async def send_tries(self, gateways, budgeted=True, program="p-crash"):
        """The request with its caller's tries, one at each of the gateways."""
        fields = [("Host", "soak.example"), ("Deadline-Milliseconds", 4000)]
        if program is not None:
            fields += [("Program-Id", program), ("Session-Id", program)]
        if budgeted:
            fields += [("Token-Budget", 400), ("Token-Counts", "100,40")]
        last_event, first_id = 0, None
        for gateway in gateways:
            attempt_id, _, last_event, pause = await self.send_once(
                gateway, fields, last_event, first_id)
            first_id = first_id or attempt_id
            await asyncio.sleep(pause)

    def drawn(self):
        return [self.random.choice(self.cluster.gateways) for _ in range(self.options.tries)]

    def judge_ends(self):
        ends, sends = self.fleet.ends, self.fleet.sends
        third = ends[ENDED_MAX - 1][0] if len(ends) >= ENDED_MAX else None
        late = 0 if third is None else sum(at > third for at, _ in sends)
        return {"ended": len(ends), "sends": len(sends), "sends_after_third": late,
                "ends": [(clock_text(at), instance) for at, instance in ends],
                "tries": self.statuses, "others_refused": self.limit_refusals(),
                "held": len(ends) <= ENDED_MAX and late == 0 and self.unfounded_refusals() == 0}

    def gateway_lines(self, text):
        """The fields of all gateways' log lines that contain TEXT."""
        return [dict(re.findall(r"(\S+)=(\S*)", line)) for node in self.cluster.gateways
                for line in node.log_text().splitlines() if text in line]

    def refusals(self):
        """Calls refused for the limit, other than those of the request that ends back ends."""
        return [line for line in self.gateway_lines(LIMIT_REASON)
                if line["call"] not in self.attempts]

    def limit_refusals(self):
        return len(self.refusals())

    def unfounded_refusals(self):
        """Those of requests whose connections were not broken by ENDED_MAX back ends that ended."""
        broken = [line["request"] for line in self.gateway_lines(SEND_FAILED)
                  if line["reason"] in BROKEN and line["backend"] in self.fleet.ended]
        return sum(broken.count(line["request"]) < ENDED_MAX for line in self.refusals())

    # Scenarios.

    async def tries(self):
        await self.send_tries(self.drawn())
        return self.judge_ends()

    async def anonymous(self):
        await self.send_tries(self.drawn(), budgeted=False, program=None)
        return self.judge_ends()

    async def gateway_killed(self):
        """The first gateway is killed between the tries and takes one of them once it is back."""
        first, second, third = self.cluster.gateways[:3]
        await self.send_tries([first])
        first.kill()
        await self.send_tries([second])
        first.start()
        await self._wait_for("the restart", lambda: self._serves_turns(first))
        await self.send_tries([first, third])
        return self.judge_ends()

    async def all_gateways_killed(self):
        """All gateways are killed and start again between the tries; storage nodes run on."""
        for gateway in self.drawn():
            await self.send_tries([gateway])
            for other in self.cluster.gateways:
                other.kill()
            for other in self.cluster.gateways:
                other.start()
            for other in self.cluster.gateways:
                await self._wait_for("the restart", lambda node=other: self._serves_turns(node))
        return self.judge_ends()

    async def all_restarted_in_turn(self):
        """After the tries all storage nodes are killed and start again, then all gateways."""
        await self.send_tries(self.drawn())
        for nodes, serves in ((self.cluster.stores, self.cluster.gateways),
                              (self.cluster.gateways, self.cluster.gateways)):
            for node in nodes:
                node.kill()
            for node in nodes:
                node.start()
            for gateway in serves:
                await self._wait_for("the restart", lambda node=gateway: self._serves_turns(node))
        await self.send_tries(self.drawn())
        return self.judge_ends()

    async def _tries_with_fault(self, fault, budgeted=True, until_lost_s=0):
        """Each try at a drawn gateway, which FAULT strikes as the try's first back end ends. Nodes
        that are lost start again UNTIL_LOST_S after the try."""
        for gateway in self.drawn():
            self.fleet.on_end = lambda node=gateway: self._strike_once(fault, node)
            await self.send_tries([gateway], budgeted)
            self.fleet.on_end = None
            await asyncio.sleep(until_lost_s)
            if self._start_lost():
                await self._wait_for("the restart", lambda node=gateway: self._serves_again(node))
        await asyncio.sleep(FROZEN_S)
        return self.judge_ends()

    def _start_lost(self):
        """Starts the nodes again that have been killed; true if there are any."""
        lost = [node for node in self.cluster.nodes() if not node.running()]
        for node in lost:
            node.start()
        return bool(lost)

    async def _serves_again(self, gateway):
        self._start_lost()  # A fault of the try may strike after its end.
        return await self._serves_turns(gateway)

    def _strike_once(self, fault, gateway):
        self.fleet.on_end = None
        fault(gateway)

    def _freeze(self, gateway):
        gateway.pause()
        asyncio.get_running_loop().call_later(FROZEN_S, gateway.resume)

    async def gateway_killed_in_try(self):
        """The gateway of each try is killed as its back end ends, so that it has told nobody."""
        return await self._tries_with_fault(lambda gateway: gateway.kill())

    async def gateway_frozen_in_try(self):
        """The gateway of each try stands still as its back end ends, and goes on later."""
        return await self._tries_with_fault(self._freeze)

    async def _restart(self, *groups):
        """Kills all nodes of each group in turn and starts them again."""
        for nodes in groups:
            for node in nodes:
                node.kill()
            for node in nodes:
                node.start()
        for gateway in self.cluster.gateways:
            await self._wait_for("the restart", lambda node=gateway: self._serves_turns(node))

    async def all_nodes_killed(self):
        """All gateways and storage nodes are killed and start again between the tries."""
        for gateway in self.drawn():
            await self.send_tries([gateway])
            await self._restart(self.cluster.nodes())
        return self.judge_ends()

    async def all_nodes_killed_in_turn(self):
        """The storage nodes are killed and start again between the tries, then the gateways."""
        for gateway in self.drawn():
            await self.send_tries([gateway])
            await self._restart(self.cluster.stores, self.cluster.gateways)
        return self.judge_ends()

    def _draw_end(self):
        """Draws how back ends end and how long the caller waits."""
        draw, options = self.random, self.options
        options.listener_s = draw.choice([0, draw.uniform(0, 0.02), draw.uniform(0, 1), math.inf])
        options.events = draw.choice([0, 0, 1, 3])
        options.patience = draw.choice([0.3, 0.5, soak.RECOVER_S])

    def _faults(self):
        """What may strike nodes as a back end ends under a try at a gateway."""
        return {
            "none": lambda gateway: None,
            "kill": lambda gateway: gateway.kill(),
            "freeze": self._freeze,
            "gateways": lambda gateway: [node.kill() for node in self.cluster.gateways],
            "stores": lambda gateway: [node.kill() for node in self.cluster.stores],
        }

    async def drawn_series(self):
        """Each try has its own end of back ends, and one to three faults that overlap."""
        draw, loop, faults, struck = self.random, asyncio.get_running_loop(), self._faults(), []

        def strike(gateway):
            for name in draw.choices(sorted(faults), k=draw.randint(1, 3)):
                delay = draw.choice([0, draw.uniform(0, NODE_FAULT_MAX_S), draw.uniform(0, FROZEN_S)])
                loop.call_later(delay, faults[name], gateway)
                struck.append((name, round(delay, 3)))
            self._draw_end()
        self._draw_end()
        report = await self._tries_with_fault(strike, until_lost_s=FROZEN_S)
        return {**report, "faults": struck}

    async def drawn_faults(self):
        """The listener's lag, what strikes which nodes and when, and the events are drawn."""
        draw, options, faults = self.random, self.options, self._faults()
        self._draw_end()
        name = draw.choice(sorted(faults))
        delay = draw.choice([0, draw.uniform(0, NODE_FAULT_MAX_S)])
        loop = asyncio.get_running_loop()

        def strike(gateway):
            if delay == 0:
                faults[name](gateway)
            else:
                loop.call_later(delay, faults[name], gateway)
        report = await self._tries_with_fault(strike)
        return {**report, "listener_s": str(options.listener_s), "events": options.events,
                "fault": name, "delay_s": delay, "patience_s": options.patience}

    async def drawn_runs(self):
        """How long back ends run the request, how they end, and what strikes which nodes, are drawn."""
        draw, options, faults = self.random, self.options, self._faults()
        self._draw_end()
        options.run_s = draw.uniform(0, RUN_MAX_S)
        options.silent = draw.random() < 0.25
        name = draw.choice(["none", "none", *sorted(faults)])
        delay = draw.uniform(0, options.run_s)
        loop = asyncio.get_running_loop()

        def strike(gateway):
            loop.call_later(delay, faults[name], gateway)
        report = await self._tries_with_fault(strike)
        return {**report, "run_s": round(options.run_s, 3), "patience_s": options.patience,
                "listener_s": str(options.listener_s), "silent": options.silent, "fault": name}

    async def persistent(self):
        """The caller does not heed Retry-After and goes on for longer than a stop lasts."""
        end = time.monotonic() + PERSISTENT_S
        while time.monotonic() < end:
            await self.send_tries([self.random.choice(self.cluster.gateways)])
        return self.judge_ends()

    async def persistent_at_one(self):
        """The same, at one gateway; then the caller goes to another."""
        first, second = self.cluster.gateways[:2]
        end = time.monotonic() + STAYS_S
        while time.monotonic() < end:
            await self.send_tries([first])
        await self.send_tries([second] * TRIES)
        return self.judge_ends()

    async def stores_away(self):
        for store in self.cluster.stores:
            store.signal(signal.SIGSTOP)
        await self.send_tries(self.cluster.gateways[:TRIES], budgeted=False)
        for store in self.cluster.stores:
            store.signal(signal.SIGCONT)
        return self.judge_ends()

    async def mostly_cut_off(self):
        """Half of the engines can't be reached while the request ends others."""
        engines = [backend for backend, _ in self.fleet.backends if backend.engine]
        for backend in self.random.sample(engines, len(engines) // 2):
            backend.fall_silent()
        await asyncio.sleep(1.5)
        await self.send_tries(self.drawn())
        return self.judge_ends()

    async def several(self):
        """Several such requests of different programs at once; the limit is each one's."""
        await asyncio.gather(*(self.send_tries(self.drawn(), program=f"p-crash-{number}")
                               for number in range(SEVERAL)))
        ended, sends = len(self.fleet.ends), len(self.fleet.sends)
        return {"ended": ended, "sends": sends, "others_refused": self.limit_refusals(),
                "held": sends <= SEVERAL * ENDED_MAX and self.unfounded_refusals() == 0}

    async def connections_delayed(self):
        """A call whose connection breaks while new ones are late stays with its back end."""
        await self.send_tries(self.drawn()[:1])
        instances = {instance for _, instance in self.fleet.sends}
        return {"sends": len(self.fleet.sends), "ended": len(instances), "tries": self.statuses,
                "held": len(instances) == 1 and self.statuses[0][1] == 200}

    async def delayed_in_series(self):
        """Back ends that are late in each try have not ended: the request is never stopped."""
        gateways = self.drawn()
        for gateway in gateways:
            await self.send_tries([gateway])
            await asyncio.sleep(DELAYS_APART_S)
        stopped = sum(LIMIT_REASON in node.log_text() for node in self.cluster.gateways)
        return {"sends": len(self.fleet.sends), "tries": self.statuses, "stopped": stopped,
                "held": len(self.fleet.sends) >= len(gateways) and stopped == 0}

    async def bystanders(self):
        """A third of the back ends crash at once, twice, under requests that are not the cause."""
        polls = []
        pollers = [asyncio.create_task(self._poll(polls)) for _ in range(POLLERS)]
        for _ in range(2):
            await asyncio.sleep(1.0)
            backends = [backend for backend, _ in self.fleet.backends]
            for backend in self.random.sample(backends, len(backends) // 3):
                if backend.server.is_serving():
                    self.fleet.crash(backend)
        await asyncio.sleep(2.0)
        for poller in pollers:
            poller.cancel()
        refused = self.limit_refusals()
        served = sum(status == 200 for status in polls)
        return {"polls": len(polls), "polls_served": served, "statuses": self.promises.statuses,
                "refused_for_the_limit": refused,
                "held": refused <= REFUSED_SHARE_MAX * len(polls) and
                served >= (1 - REFUSED_SHARE_MAX) * len(polls)}

    async def live_back_ends(self):
        """Half of all connections are reset each second; answers are lost and broken off."""
        polls = []
        pollers = [asyncio.create_task(self._poll(polls)) for _ in range(POLLERS)]
        for backend, _ in self.fleet.backends:
            backend.faults = {"lose_answer": self.options.loss, "cut": self.options.loss}
        for _ in range(RESETS):
            await asyncio.sleep(1.0)
            for backend, _ in self.fleet.backends:
                connections = sorted(backend.connections, key=id)
                for writer in self.random.sample(connections, len(connections) // 2):
                    reset(writer)
        for backend, _ in self.fleet.backends:
            backend.faults = {}
        for poller in pollers:
            poller.cancel()
        refused, attempts = self.limit_refusals(), len(self.promises.attempts)
        return {"attempts": attempts, "refused_for_the_limit": refused,
                "polls": len(polls), "polls_served": sum(status == 200 for status in polls),
                "held": refused <= UNFOUNDED_SHARE_MAX * attempts}

    async def _poll(self, polls):
        """Requests of many callers, without a program, which are equal unless --distinct."""
        fields = [("Host", "soak.example"), ("Deadline-Milliseconds", 1200)]
        while True:
            attempt_id = self.caller.new_id()
            path = "/safe/" + (attempt_id if self.options.distinct else "poll")
            self.promises.begin(Attempt(attempt_id, SAFE, "GET", path, b"", None))
            gateway, status = self.random.choice(self.cluster.gateways), 0
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.calls_port)
                writer.write(render(f"GET {path} HTTP/1.1", fields + [("Attempt-Id", attempt_id)]))
                message = await read_head(reader)
                status = message.status if message is not None else 0
                writer.close()
            except (OSError, asyncio.IncompleteReadError):
                pass
            polls.append(status)
            await asyncio.sleep(0.005)


def read_crash_options():
    parser = new_parser(__doc__, "crash-request",
                        ["tries", "anonymous", "gateway_killed", "all_gateways_killed",
                         "all_restarted_in_turn", "persistent", "persistent_at_one",
                         "stores_away", "mostly_cut_off", "several", "connections_delayed",
                         "delayed_in_series", "bystanders", "gateway_killed_in_try",
                         "gateway_frozen_in_try", "all_nodes_killed", "all_nodes_killed_in_turn",
                         "drawn_faults", "drawn_series", "drawn_runs", "live_back_ends"])
    parser.add_argument("--events", type=int, default=0, help="events before a back end ends")
    parser.add_argument("--run-s", type=float, default=0,
                        help="seconds for which a back end runs the request before it ends")
    parser.add_argument("--pace", type=int, default=1, help="how many times as long events take")
    parser.add_argument("--silent", action="store_true",
                        help="ended back ends neither reset nor refuse connections")
    parser.add_argument("--listener-s", type=float, default=0,
                        help="seconds for which an ended back end's port takes connections; inf")
    parser.add_argument("--served-on-s", type=float,
                        help="seconds after which the next process serves at an ended one's port, "
                        "under its id")
    parser.add_argument("--loss", type=float, default=0.02,
                        help="share of answers that live back ends lose, and of those they cut")
    parser.add_argument("--distinct", action="store_true",
                        help="polls are requests of their own, not equal ones")
    parser.add_argument("--errors", action="store_true",
                        help="every second send gets a complete answer with a failure instead")
    parser.add_argument("--patience", type=float, default=soak.RECOVER_S,
                        help="seconds after which the caller gives a try up")
    parser.add_argument("--tries", type=int, default=TRIES)
    return read_options(parser)


def main():
    options = read_crash_options()
    play_and_exit(CrashScenario, options)


if __name__ == "__main__":
    main()
