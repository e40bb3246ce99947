"""Faults of the soak: drawn from a seed as a plan, then played against real processes."""

import asyncio
import random
import time
from dataclasses import dataclass

from cluster import ZONES
from strikes import GATEWAYS

BACKEND_FAULTS = [
    "refuse", "lose_answer", "hang", "error", "wrong_id", "unsigned", "cut", "surplus",
]
LINK_STATES = ["silence", "one_way", "refuse", "delay", "reset"]
KEY_VALUE_FAULTS = ["refuse", "lose", "slow", "forget"]
DRAIN_S = 2.0
DRAIN_SLACK_S = 2.0
RETIRE_PATIENCE_S = 30.0
CUT_S = (3.0, 6.0)
BETWEEN_CUTS_S = (3.0, 8.0)
RESTARTS_EVERY_S = 4.0
FEATURES = ["zones", "born", "tenants", "slow", "large", "kept", "grace"]
FEATURES_WITH_FAULTS = ["zones", "born"]
GRACE_LEAST_S, GRACE_MOST_S = 3.0, 10.0
# The faults that strike gateways or back ends; by the others no caller loses an answer.
STRIKES_GATEWAY = {"gateway_kill", "gateway_pause", "caller_link"}
STRIKES_GATEWAYS = {"all_killed", "all_killed_one_wiped", "zone_cut", "store_link"}
STRIKES_BACKEND = {"backend", "backend_link", "backend_restart", "vanish"}

# Kind and how often it is drawn.
KINDS = {
    "gateway_kill": 3, "gateway_pause": 2, "gateway_stop": 4,
    "store_kill": 3, "store_pause": 3, "store_wipe": 2, "store_torn": 2, "store_full": 2,
    "store_stop": 1, "all_killed": 1, "all_killed_one_wiped": 1, "retire": 1,
    "key_value_link": 3, "store_link": 3, "backend_link": 3, "caller_link": 2,
    "key_value": 3, "backend": 4, "drain": 3, "vanish": 1, "edit": 4,
}


@dataclass(frozen=True)
class Fault:
    """One entry of the plan; the target is taken modulo what there is."""

    at_s: float
    kind: str
    target: int
    for_s: float
    variant: int
    strength: float


def draw_plan(seed, seconds, kinds=None):
    """The faults of a run, in time order; the last seconds are left for the tail of a fault."""
    chance = random.Random(seed)
    names = sorted(kinds or KINDS)
    weights = [KINDS[name] for name in names]
    plan, at_s = [], 1.0
    while at_s < seconds:
        plan.append(
            Fault(
                round(at_s, 2), chance.choices(names, weights)[0], chance.randrange(1000),
                round(chance.uniform(0.4, 4.0), 2), chance.randrange(1000), chance.uniform(0.1, 0.7),
            )
        )
        at_s += chance.expovariate(1.0)
    return plan


def draw_features(seed):
    """What a run has beside the plan: each in half of the runs."""
    chance = random.Random(f"features {seed}")
    return [name for name in FEATURES if chance.random() < 0.5]


def draw_grace_s(seed):
    return round(random.Random(f"grace {seed}").uniform(GRACE_LEAST_S, GRACE_MOST_S), 1)


def draw_feature_faults(seed, seconds, features):
    """Faults that come with the features, from generators of their own: the plan stays as it is."""
    faults = []
    for name in (name for name in features if name in FEATURES_WITH_FAULTS):
        chance = random.Random(f"{name} {seed}")
        at_s = chance.uniform(2.0, 6.0)
        while at_s < seconds:
            kind = "zone_cut" if name == "zones" else "backend_restart"
            for_s = chance.uniform(*CUT_S) if name == "zones" else chance.uniform(0.1, 2.0)
            faults.append(
                Fault(round(at_s, 2), kind, chance.randrange(1000), round(for_s, 2),
                      chance.randrange(1000), chance.random())
            )
            pause_s = chance.expovariate(1.0 / RESTARTS_EVERY_S)
            at_s += for_s + chance.uniform(*BETWEEN_CUTS_S) if name == "zones" else pause_s
    return faults


class Player:
    """Plays a plan; every fault it began has ended when play() returns."""

    def __init__(self, cluster, key_value, world):
        self.cluster = cluster
        self.key_value = key_value
        self.world = world  # Back ends and configuration; see soak.py.
        self.counts = {}
        self.wiping = asyncio.Lock()
        self.tasks = []

    async def play(self, plan):
        start = time.monotonic()
        for fault in sorted(plan, key=lambda fault: fault.at_s):
            await asyncio.sleep(max(0.0, start + fault.at_s - time.monotonic()))
            self.tasks.append(asyncio.create_task(self._play_one(fault)))
        await asyncio.gather(*self.tasks)

    async def _play_one(self, fault):
        planned = fault.kind in ("gateway_stop", "edit", "drain")
        self.counts[fault.kind] = self.counts.get(fault.kind, 0) + 1
        print(f"FAULT {fault}", flush=True)
        if not planned:
            self.cluster.fault_begins()
        strikes = self.cluster.strikes.begin(self._struck(fault))
        try:
            await getattr(self, "_" + fault.kind)(fault)
        finally:
            self.cluster.strikes.end(strikes)
            if not planned:
                self.cluster.fault_ends()

    def _struck(self, fault):
        """The names of the gateways and back ends that the fault strikes, itself or their links."""
        if fault.kind in STRIKES_GATEWAY:
            return [self._gateway(fault).name]
        if fault.kind in STRIKES_GATEWAYS:
            return [GATEWAYS]
        if fault.kind in STRIKES_BACKEND:
            return [self.world.backend(fault.target).instance]
        if fault.kind == "key_value_link":
            nodes = self._nodes_of_key_value_link(fault)
            return [node.name for node in nodes if node in self.cluster.gateways]
        return []

    def _gateway(self, fault):
        return self.cluster.gateways[fault.target % len(self.cluster.gateways)]

    def _store(self, fault):
        return self.cluster.stores[fault.target % len(self.cluster.stores)]

    # Processes.

    async def _kill(self, node, for_s):
        node.kill()
        await asyncio.sleep(for_s)
        node.start()

    async def _pause(self, node, for_s):
        node.pause()
        await asyncio.sleep(for_s)
        node.resume()

    async def _gateway_kill(self, fault):
        await self._kill(self._gateway(fault), fault.for_s / 2)

    async def _gateway_pause(self, fault):
        await self._pause(self._gateway(fault), fault.for_s)

    async def _gateway_stop(self, fault):
        node = self._gateway(fault)
        if node.term_at is None and node.running() and not node.paused:
            await self.cluster.stop_planned(node)
            node.start()

    async def _store_stop(self, fault):
        node = self._store(fault)
        if node.term_at is None and node.running() and not node.paused:
            await self.cluster.stop_planned(node)
            node.start()

    async def _store_kill(self, fault):
        await self._kill(self._store(fault), fault.for_s / 2)

    async def _store_pause(self, fault):
        await self._pause(self._store(fault), fault.for_s)

    async def _wait_complete(self, node, before):
        while node.completions() <= before:
            await asyncio.sleep(0.1)

    async def _store_wipe(self, fault):
        """One disk at a time: the next only once this node holds everything again."""
        if self.wiping.locked():
            return
        async with self.wiping:
            node = self._store(fault)
            before = node.completions()
            node.kill()
            node.wipe()
            await asyncio.sleep(fault.for_s / 4)
            node.start()
            await self._wait_complete(node, before)

    async def _store_torn(self, fault):
        node = self._store(fault)
        node.kill()
        if not self.wiping.locked():
            node.tear_tail(1 + fault.variant % 200)
        await asyncio.sleep(fault.for_s / 4)
        node.start()

    async def _store_full(self, fault):
        node = self._store(fault)
        node.limit_files(True)
        await asyncio.sleep(fault.for_s)
        node.limit_files(False)

    async def _all_killed(self, fault):
        nodes = self.cluster.nodes()
        for node in nodes:
            node.kill()
        await asyncio.sleep(fault.for_s / 4)
        for node in nodes:
            node.start()

    async def _all_killed_one_wiped(self, fault):
        if self.wiping.locked():
            return
        async with self.wiping:
            node = self._store(fault)
            before = node.completions()
            nodes = self.cluster.nodes()
            for other in nodes:
                other.kill()
            node.wipe()
            await asyncio.sleep(fault.for_s / 4)
            for other in nodes:
                other.start()
            await self._wait_complete(node, before)

    async def _retire(self, fault):
        """A spare joins, another storage node is emptied, taken away, and its disk with it."""
        if self.wiping.locked() or len(self.cluster.stores) > 5:
            return
        async with self.wiping:
            node = self._store(fault)
            spare = self.cluster.add("store")
            await spare.prepare()
            spare.start()
            self.key_value.put(f"op/retire/{node.name}", {"duration-s": RETIRE_PATIENCE_S})
            self.cluster.stores.remove(node)
            while (self.key_value.get(f"status/retire/{node.name}") or {}).get("state") != "completed":
                if not node.running():
                    node.start()
                await asyncio.sleep(0.1)
            node.kill()
            node.wipe()
            self.key_value.put(f"op/retire/{node.name}", None)

    # Links.

    async def _harm_link(self, proxies, fault):
        state = LINK_STATES[fault.variant % len(LINK_STATES)]
        for proxy in proxies:
            if state == "reset":
                proxy.reset_all()
            else:
                proxy.set_state(state, fault.strength / 4 if state == "delay" else 0.0)
        await asyncio.sleep(fault.for_s)
        for proxy in proxies:
            proxy.set_state("pass")

    async def _key_value_link(self, fault):
        nodes = self._nodes_of_key_value_link(fault)
        await self._harm_link([node.key_value_proxy for node in nodes], fault)

    def _nodes_of_key_value_link(self, fault):
        nodes = self.cluster.nodes()
        return [nodes[fault.target % len(nodes)]] if fault.strength < 0.4 else nodes

    async def _store_link(self, fault):
        await self._harm_link([self._store(fault).peer_proxy], fault)

    async def _caller_link(self, fault):
        await self._harm_link([self._gateway(fault).calls_proxy], fault)

    async def _backend_link(self, fault):
        proxies = self.world.backend_proxies()
        await self._harm_link([proxies[fault.target % len(proxies)]], fault)

    async def _zone_cut(self, fault):
        self.cluster.cut_zone(ZONES[fault.target % len(ZONES)], silent=fault.variant % 2 == 0)
        await asyncio.sleep(fault.for_s)
        self.cluster.heal_zone()

    # The key-value service, back ends, operators.

    async def _key_value(self, fault):
        service = self.key_value
        kind = KEY_VALUE_FAULTS[fault.variant % len(KEY_VALUE_FAULTS)]
        if kind == "refuse":
            service.refuse_share = fault.strength
        elif kind == "lose":
            service.lose_share = fault.strength
        elif kind == "slow":
            service.slow_s = fault.strength
        else:
            service.forget_history()
        await asyncio.sleep(fault.for_s)
        service.refuse_share = service.lose_share = service.slow_s = 0.0

    async def _backend(self, fault):
        backend = self.world.backend(fault.target)
        name = BACKEND_FAULTS[fault.variant % len(BACKEND_FAULTS)]
        backend.faults[name] = fault.strength
        await asyncio.sleep(fault.for_s)
        backend.faults.pop(name, None)

    async def _backend_restart(self, fault):
        await self.world.restart_backend(fault.target, fault.for_s)

    async def _drain(self, fault):
        await self.world.replace_backend(fault.target, announced=True)

    async def _vanish(self, fault):
        await self.world.replace_backend(fault.target, announced=False)

    async def _edit(self, fault):
        self.world.edit()
        await asyncio.sleep(0)
