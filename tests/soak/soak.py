#!/usr/bin/env python3
"""A randomized fault soak over real gateways and storage nodes on loopback.

Gateways and storage nodes run as processes of their own; the key-value service, the back ends, the
callers and a proxy on each link live in this one. Faults are drawn from the seed and played from
outside: signals, proxies, folders, limits. Promises are judged while it runs, from what callers and
back ends see, and once more at the end, when all is healed.

    soak.py --build build --seed 7 --seconds 30

The last line is JSON. Exit status 0: no promise was broken. The same seed gives the same plan of
faults; when they meet a call is up to the machine, so a seed is run several times to trace it.
"""

import argparse
import asyncio
import json
import os
import random
import re
import shutil
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from backends import PACES, Backend
from callers import RESUMABLE, SAFE, TOKENS_PER_EVENT, TURN, UNSAFE, Caller, Route
from cluster import ZONES, Cluster
from faults import (
    DRAIN_S, DRAIN_SLACK_S, FEATURES, Player, draw_feature_faults, draw_features, draw_grace_s,
    draw_plan,
)
from kept_connections import KeptCaller, LoopLag
from key_value import KeyValueService
from promises import TENANTS, Promises

GATEWAYS, STORES, ENGINES, SERVICES = 3, 3, 3, 3
PROGRAMS_AT_ONCE = 10
KEPT_CALLERS = 12
RECOVER_S = 40.0
TURNS_READ_BACK = 300
SLOTS = 8
ROUTES = [
    ("turns", TURN, "streaming", "engine"),
    ("resumable", RESUMABLE, "streaming", "engine"),
    ("safe", SAFE, "safe", "service"),
    ("unsafe", UNSAFE, "unsafe", "service"),
]


class World:
    """Back ends and the configuration, as servers and the operator write them."""

    timeout_ms, idle_timeout_ms = 3000, 15000
    max_body_bytes = 1048576
    routes = ROUTES

    def __init__(self, key_value, ports, promises, cluster, seed, features):
        self.born = "born" in features  # Back ends tell when they were born; some are slower.
        self.tenants = "tenants" in features
        self.slow = "slow" in features
        self.large = "large" in features
        self.seed = seed
        self.paces = random.Random(f"paces {seed}")
        self.key_value = key_value
        self.ports = ports
        self.promises = promises
        self.cluster = cluster
        self.random = random.Random(seed)
        self.backends = []  # (Backend, Proxy)
        self.started = 0
        self.version = 0

    async def add_backend(self, service):
        self.started += 1
        instance = f"i-{self.started:04d}"
        port = self.ports.take()
        backend = Backend(
            instance, service, service == "engine", self.random.random(), self.promises
        )
        self._begin_life(backend)
        self._draw_work(backend)
        await backend.start(port)
        zone = ZONES[self.started % len(ZONES)]
        proxy = self.cluster.proxy(instance, self.ports.take(), port, far_zone=zone)
        await proxy.start()
        self.backends.append((backend, proxy))
        self._register(backend, proxy, "ready")

    def _begin_life(self, backend):
        backend.born_ms = int(time.time() * 1000)
        if self.born:
            backend.pace = self.paces.choice(PACES)

    def _draw_work(self, backend):
        if self.slow:
            backend.work = random.Random(f"slow {self.seed} {backend.instance}")
        if self.large:
            backend.sizes = f"large {self.seed}"

    def end_work(self):
        """Back ends are quick again, and their answers small."""
        for backend, _ in self.backends:
            backend.work = backend.sizes = None

    def _register(self, backend, proxy, state, fields=None):
        entry = {
            **(fields or {}),
            "service": backend.service,
            "address": f"127.0.0.1:{proxy.listen_port}",
            "zone": proxy.far_zone,
            "slots": SLOTS,
            "state": state,
            "sequence": 1,
        }
        if self.born:
            entry["born"] = backend.born_ms
        self.key_value.put(f"servers/{backend.instance}", entry)

    def backend(self, target):
        return self.backends[target % len(self.backends)][0]

    def backend_proxies(self):
        return [proxy for _, proxy in self.backends]

    async def replace_backend(self, target, announced):
        """A new server comes; this one leaves, with a word or without, and serves on for a while."""
        backend, proxy = self.backends.pop(target % len(self.backends))
        await self.add_backend(backend.service)
        if announced:
            self._register(backend, proxy, "draining")
        else:
            self.key_value.put(f"servers/{backend.instance}", None)
        told_at = time.monotonic()
        await asyncio.sleep(DRAIN_S + DRAIN_SLACK_S)
        calm = self.cluster.calm_since
        if calm is not None and calm < told_at - DRAIN_SLACK_S:
            self.promises.drained[backend.instance] = time.monotonic()
        self.key_value.put(f"servers/{backend.instance}", None)
        await asyncio.sleep(DRAIN_S)
        self.cluster.strikes.note(backend.instance)
        backend.stop()
        proxy.set_state("refuse")

    async def restart_backend(self, target, for_s):
        """The server ends in the midst of its calls and comes back under its id and address."""
        backend, proxy = self.backends[target % len(self.backends)]
        if not backend.server.is_serving():
            return
        backend.stop()
        await asyncio.sleep(for_s)
        if (backend, proxy) not in self.backends:  # Taken away meanwhile.
            return
        self._begin_life(backend)
        await backend.start(proxy.target_port)
        self._register(backend, proxy, "ready")

    def edit(self):
        """A new version of the configuration; its probe route shows that it is in force."""
        self.version += 1
        routes = [self._route(name, route, kind, service) for name, route, kind, service in self.routes]
        probe = self.probe_route(self.version)
        routes.append(self._route(f"probe-{self.version}", probe, "unsafe", "service"))
        tenants = [
            {"name": name, "rate-per-s": rate, "burst": burst, "api-keys": [f"key-of-{name}"]}
            for name, (rate, burst) in TENANTS.items()
        ]
        self.key_value.put("op/config", {
            **({"tenants": tenants} if self.tenants else {}),
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": "engine",
                 "engine": {"slots": SLOTS, "tokens-per-event": TOKENS_PER_EVENT}},
                {"name": "service"},
            ],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": self.max_body_bytes,
                       "header-timeout-ms": 3000, "idle-timeout-ms": self.idle_timeout_ms},
        })

    @staticmethod
    def probe_route(version):
        return Route(f"/probe/{version}/", stream=False, repeatable=False)

    def attempts(self, route):
        """How many back ends one attempt of a caller may be sent to."""
        return 2 if route.repeatable else 1

    def _route(self, name, route, kind, service):
        return {
            "name": name, "host": "soak.example", "path-prefix": route.prefix, "kind": kind,
            "service": service, "timeout-ms": self.timeout_ms, "attempts": self.attempts(route),
            "resumable": route.stream and route.repeatable, "stateful": route.stateful,
            "retention-s": 600,
        }


class Soak:
    """One run."""

    def __init__(self, options):
        self.options = options
        self.features = options.features
        if self.features is None:
            self.features = draw_features(options.seed)
        self.promises = Promises()
        self.key_value = KeyValueService(options.seed)
        self.running = True

    async def set_up(self):
        options = self.options
        self.cluster = Cluster(
            options.build, options.folder, self.promises,
            tolerated_zones=1 if "zones" in self.features else 0,
        )
        if "grace" in self.features:
            self.cluster.grace_s = draw_grace_s(options.seed)
        await self.key_value.start(self.cluster.key_value_port)
        self.world = World(
            self.key_value, self.cluster.ports, self.promises, self.cluster, options.seed,
            self.features,
        )
        self.world.edit()
        for service, count in (("engine", ENGINES), ("service", SERVICES)):
            for _ in range(count):
                await self.world.add_backend(service)
        for kind, count in (("store", STORES), ("gateway", GATEWAYS)):
            for _ in range(count):
                node = self.cluster.add(kind, first_start=kind == "store")
                await node.prepare()
                node.start()
        self.caller = Caller(
            self.promises, self.cluster.gateways, options.seed, self.world.tenants, self.world.large
        )
        self.lag = LoopLag()
        self.kept_callers = [
            KeptCaller(self.cluster, self.lag, f"{options.seed} {number}", self.world.tenants,
                       self.world.large)
            for number in range(KEPT_CALLERS if "kept" in self.features else 0)
        ]

    async def _run_programs(self):
        while self.running:
            await self.caller.program()
            await asyncio.sleep(self.caller.random.uniform(0.01, 0.1))

    async def _probe_versions(self):
        while self.running:
            for gateway in self.cluster.gateways:
                for version in (self.world.version, self.world.version - 1):
                    await self._probe(gateway, version)
            await asyncio.sleep(0.2)

    async def _probe(self, gateway, version):
        """True if the gateway serves the route that only this version has."""
        sent_at, incarnation = time.monotonic(), gateway.incarnation
        route = self.world.probe_route(version)
        _, result = await self.caller.attempt(route, b"probe", gateway=gateway, tenant="free")
        served = result.whole and result.status == 200
        if served and incarnation == gateway.incarnation:
            self.promises.note_version(incarnation, sent_at, version)
        return served

    async def _wait_for(self, what, check):
        until = time.monotonic() + RECOVER_S
        while time.monotonic() < until:
            if await check():
                return True
            await asyncio.sleep(0.2)
        self.promises.break_promise("recover", "-", what)
        return False

    async def _serves_turns(self, gateway):
        _, result = await self.caller.attempt(
            TURN, b"new\n", self.caller.new_id(), gateway=gateway, tenant="free")
        return result.whole and result.status == 200

    async def _recovered(self):
        """Everything is healed: each gateway serves turns, under the newest configuration."""
        for gateway in self.cluster.gateways:
            await self._wait_for(f"{gateway.name} serves turns", lambda g=gateway: self._serves_turns(g))
            await self._wait_for(
                f"{gateway.name} has the newest configuration",
                lambda g=gateway: self._probe(g, self.world.version),
            )

    async def _read_back(self):
        """Every turn that was answered whole can be gone on from; back ends judge the prompt."""
        names = list(self.promises.turns)
        for turn in random.Random(self.options.seed).sample(names, min(len(names), TURNS_READ_BACK)):
            async def gone_on(turn=turn):
                attempt_id, result = await self.caller.attempt(
                    TURN, b"on\n", self.caller.new_id(), parent=turn)
                if result.status == 404:
                    self.promises.break_promise("lost", attempt_id, f"no such turn: {turn}")
                    return True
                return result.whole and result.status == 200
            if not await self._wait_for(f"turn {turn} can be gone on from", gone_on):
                return

    async def run(self):
        await self.set_up()
        try:
            if not await self._wait_for("the start", self._all_start):
                return
            work = [asyncio.create_task(self._run_programs()) for _ in range(PROGRAMS_AT_ONCE)]
            work.append(asyncio.create_task(self._probe_versions()))
            lag = asyncio.create_task(self.lag.watch())
            work += [asyncio.create_task(caller.run(lambda: self.running))
                     for caller in self.kept_callers]
            player = Player(self.cluster, self.key_value, self.world)
            plan = draw_plan(self.options.seed, self.options.seconds, self.options.kinds)
            plan += draw_feature_faults(self.options.seed, self.options.seconds, self.features)
            try:
                await asyncio.wait_for(player.play(plan), self.options.seconds + 90)
            except asyncio.TimeoutError:
                self.promises.break_promise("recover", "-", "a fault's end was never reached")
            self.counts = player.counts
            self.cluster.check_ends()
            for node in self.cluster.nodes():
                node.start()
            self.world.end_work()
            await self._recovered()
            self.running = False
            await asyncio.gather(*work)
            lag.cancel()
            await self._read_back()
        finally:
            self.cluster.check_ends()
            self.cluster.stop_all()

    async def _all_start(self):
        return all([await self._serves_turns(gateway) for gateway in self.cluster.gateways])


def read_options():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--build", default="build", help="folder of the programs")
    parser.add_argument("--folder", default="soak-run", help="folder of logs and data; made anew")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20, help="how long faults are begun")
    parser.add_argument("--kinds", type=lambda text: text.split(","), help="only these faults")
    parser.add_argument(
        "--features", type=lambda text: [name for name in text.split(",") if name in FEATURES],
        help=f"some of {','.join(FEATURES)}, or none; drawn from the seed by default",
    )
    options = parser.parse_args()
    options.build, options.folder = os.path.abspath(options.build), os.path.abspath(options.folder)
    return options


def main():
    options = read_options()
    shutil.rmtree(options.folder, ignore_errors=True)
    os.makedirs(options.folder)
    soak = Soak(options)
    # Connections that are open at the end are of no more interest.
    asyncio.new_event_loop().run_until_complete(soak.run())
    promises = soak.promises
    report = {
        "seed": options.seed,
        "attempts": len(promises.attempts),
        "turns": len(promises.turns),
        "statuses": {str(status): count for status, count in sorted(promises.statuses.items(), key=str)},
        "features": soak.features,
        "grace_s": soak.cluster.grace_s,
        "kept_connections": sum(caller.connections for caller in soak.kept_callers),
        "kept_requests": sum(caller.requests for caller in soak.kept_callers),
        "faults": getattr(soak, "counts", {}),
        "zone_cuts_found": sum(
            len(re.findall("^.*E850 .*cut=yes", node.log_text(), re.M)) for node in soak.cluster.gateways
        ),
        "broken": len(promises.broken),
    }
    print(json.dumps(report), flush=True)
    os._exit(1 if promises.broken else 0)


if __name__ == "__main__":
    main()
