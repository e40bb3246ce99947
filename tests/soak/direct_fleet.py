"""A cluster whose back ends accept connections without a proxy, so that the port of an ended one
refuses; programs run beside what a test does to it."""

import argparse
import asyncio
import json
import os
import random
import shutil
import types

import soak
from cluster import GRACE_S

ENGINES, SERVICES = 15, 9
ENTRY_GONE_S, REPLACED_S, RESTART_S = 0.6, 0.5, 0.3


class Fleet(soak.World):
    """The back ends; the class of one is given by new_backend."""

    def __init__(self, options, *arguments):
        super().__init__(*arguments)
        self.options = options
        self.tasks = []

    def new_backend(self, instance, service):
        raise NotImplementedError

    def entry_fields(self, backend):
        """Fields of a back end's entry besides the usual ones."""
        del backend
        return {}

    async def add_backend(self, service):
        self.started += 1
        backend = self.new_backend(f"i-{self.started:04d}", service)
        backend.port = self.ports.take()
        backend.zone = soak.ZONES[self.started % len(soak.ZONES)]
        await backend.start(backend.port)
        self.backends.append((backend, None))
        self.write_entry(backend)
        return backend

    def write_entry(self, backend):
        address = types.SimpleNamespace(listen_port=backend.port, far_zone=backend.zone)
        self._register(backend, address, "ready", self.entry_fields(backend))

    def crash(self, backend):
        """Its port refuses, its connections are reset; it starts again or another one does."""
        backend.stop()
        self.tasks.append(asyncio.ensure_future(
            self.start_again(backend) if self.options.restart else self.replace(backend)))

    async def start_again(self, backend):
        await asyncio.sleep(RESTART_S)
        await backend.start(backend.port)

    async def replace(self, backend):
        await asyncio.sleep(ENTRY_GONE_S)
        self.key_value.put(f"servers/{backend.instance}", None)
        self.backends = [pair for pair in self.backends if pair[0] is not backend]
        await asyncio.sleep(REPLACED_S)
        await self.add_backend(backend.service)


class Scenario(soak.Soak):
    """A run; the fleet's class is given by new_fleet."""

    grace_s = GRACE_S

    def __init__(self, options):
        super().__init__(options)
        self.random = random.Random(options.seed)
        self.work = []

    def new_fleet(self, *arguments):
        raise NotImplementedError

    async def start(self):
        """False if the cluster does not start."""
        options = self.options
        self.cluster = soak.Cluster(options.build, options.folder, self.promises,
                                    grace_s=self.grace_s)
        await self.key_value.start(self.cluster.key_value_port)
        self.fleet = self.world = self.new_fleet(
            options, self.key_value, self.cluster.ports, self.promises, self.cluster, options.seed, [])
        self.world.edit()
        for service, count in (("engine", options.engines), ("service", SERVICES)):
            for _ in range(count):
                await self.world.add_backend(service)
        for kind, count in (("store", 3), ("gateway", options.gateways)):
            for _ in range(count):
                node = self.cluster.add(kind, first_start=kind == "store")
                await node.prepare()
                node.start()
        self.caller = soak.Caller(self.promises, self.cluster.gateways, options.seed)
        if not await self._wait_for("the start", self._all_start):
            return False
        self.work = [asyncio.create_task(self._run_programs()) for _ in range(options.programs)]
        await asyncio.sleep(1.0)
        return True

    async def play(self):
        """The scenario's report, with the count of what its programs got."""
        try:
            if not await self.start():
                return {"held": False, "detail": "the cluster did not start"}
            report = await getattr(self, self.options.scenario)()
            self.running = False
            await asyncio.wait_for(asyncio.gather(*self.work), soak.RECOVER_S)
            report["others"] = {str(key): count for key, count in self.promises.statuses.items()}
            return report
        finally:
            self.cluster.stop_all()


def new_parser(description, folder, scenarios):
    parser = argparse.ArgumentParser(description=description.split("\n\n")[0])
    parser.add_argument("--build", default="build", help="folder of the programs")
    parser.add_argument("--folder", default=f"soak-run/{folder}", help="folder of logs and data")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--engines", type=int, default=ENGINES)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--programs", type=int, default=12, help="programs that run beside it")
    parser.add_argument("--restart", action="store_true",
                        help="ended back ends start again under their id and address")
    parser.add_argument("scenario", choices=scenarios)
    return parser


def read_options(parser):
    options = parser.parse_args()
    options.features = []
    options.build, options.folder = os.path.abspath(options.build), os.path.abspath(options.folder)
    return options


def play_and_exit(new_scenario, options):
    """Plays a scenario in an empty folder, prints its report, and ends the process: exit status 0
    if it held and no promise was broken."""
    shutil.rmtree(options.folder, ignore_errors=True)
    os.makedirs(options.folder)
    scenario = new_scenario(options)
    report = asyncio.new_event_loop().run_until_complete(scenario.play())
    report["broken"] = len(scenario.promises.broken)
    print(json.dumps(report), flush=True)
    os._exit(0 if report["held"] and report["broken"] == 0 else 1)
