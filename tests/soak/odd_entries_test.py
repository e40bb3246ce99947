#!/usr/bin/env python3
"""Odd values in the key-value service, left by another writer, against real nodes on loopback.

    odd_entries_test.py --build build --seed 3 SCENARIO

server_entries: odd entries of servers come and go beside sound ones; all nodes are killed and start
again beside them. own_keys: the same with odd values under the keys that nodes and operators write.
group_changes: a storage node is replaced after the storage group's key held an odd value.

The last line is JSON. Exit status 0: no process ended by itself, calls went on being answered, and
each gateway followed what was changed after: back ends added and removed, a new configuration.
"""

import asyncio
import json
import os
import random
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import soak
from backends import Backend
from callers import SAFE, UNSAFE
from direct_fleet import Fleet, Scenario, new_parser, play_and_exit, read_options
from faults import DRAIN_S, DRAIN_SLACK_S, RETIRE_PATIENCE_S, Fault, Player

SCENARIOS = ["server_entries", "own_keys", "group_changes"]
ENDED = {0, 500, 502, 504}  # No call beside odd entries may end so.
CHANGES_PER_S = 120
ANSWERED_LEAST = 20
CALLS_AT_ONCE = 40
FOLLOW_S = 20.0
LAST_RUNS_S = 1.0
SEEN_S = 2.0
RETIRE_S = RETIRE_PATIENCE_S
GROUP_KEY = "rudderway/group"
REJECTED_EVENT = "E606 "
SOUND = {  # Of a service that no route leads to: one that is followed takes no calls.
    "service": '"odd"', "address": '"127.0.0.1:1"', "zone": '"za"', "slots": "8",
    "state": '"ready"', "sequence": "1",
}


def entry(**fields):
    """A server's entry in which some fields have another text, or a further field stands."""
    rows = [f'"{name}":{text}' for name, text in {**SOUND, **fields}.items()]
    return ("{" + ",".join(rows) + "}").encode("utf-8", "surrogateescape")


def nested_values():
    """Arrays and objects, closed and not, by name."""
    values = {}
    for depth in (100, 1000, 2047, 2048, 2049, 10_000, 100_000, 1_000_000):
        values[f"array_{depth}"] = "[" * depth + "]" * depth
        values[f"open_array_{depth}"] = "[" * depth
        if depth <= 100_000:
            values[f"object_{depth}"] = '{"a":' * depth + "1" + "}" * depth
            values[f"mixed_{depth}"] = '[{"a":' * (depth // 2)
    return values


NUMBERS = {
    "digits": "9" * 5000, "fraction_digits": "0." + "3" * 5000, "exponent": "1e400",
    "small_exponent": "1e-400", "negative_exponent": "-1e400", "negative": "-1", "port": "65536",
    "e18": "1e18", "whole_e18": "1000000000000000000", "most_32": "4294967295",
    "over_32": "4294967296", "half_32": "2147483648", "over_64": "18446744073709551616",
    "half_64": "9223372036854775807",
    "least_64": "-9223372036854775808", "fraction": "1.5", "text": '"8"', "null": "null",
    "true": "true", "array": "[8]", "object": "{}", "zero": "0", "negative_zero": "-0",
}
ADDRESSES = [
    "", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1",
    "127.0.0.1:99999999999999999999999", "127.0.0.1:-18446744073709551615", "127.0.0.1:1.5",
    "127.0.0.1:1e3", "127.0.0.1: 80", "127.0.0.1:+80", "256.0.0.1:80", "localhost:80", "[::1]:80",
    "0.0.0.0:80", "255.255.255.255:80", "127.0.0.1:80:80", "1" * 500_000 + ":80",
]
TEXTS = {
    "long": '"' + "a" * 500_000 + '"', "empty": '""', "zero_byte": '"a\\u0000b"',
    "raw_zero_byte": '"a\0b"', "broken_utf8": '"\udcff\udcfe\udcc3("',
    "lone_surrogate": '"\\ud800"', "control": '"a\nb"', "number": "7", "null": "null",
    "nested": "[" * 100 + "]" * 100,
}
DOCUMENTS = {
    "empty": b"", "spaces": b"   ", "no_json": b"not json", "half": entry()[:40], "number": b"7",
    "text": b'"ready"', "null": b"null", "true": b"true", "list": b"[]", "object": b"{}",
    "entries": b"[" + entry() + b"]", "zero_bytes": b"\0" * 1000, "behind": entry() + b"\0\0",
    "twice": entry() + entry(), "random": random.Random(1).randbytes(5000),
    "mark": b"\xef\xbb\xbf" + entry(), "utf16": entry().decode().encode("utf-16"),
    "duplicates": entry()[:-1] + b',"state":"draining","address":"127.0.0.1:65536","slots":-1}',
    "long": b'"' + b"a" * 500_000 + b'"', "many_fields":
    ("{" + ",".join(f'"f{number}":{number}' for number in range(20_000)) + "}").encode(),
    "empty_name": b'{"":1}', "long_name": b'{"' + b"n" * 500_000 + b'":1}',
}


def odd_entries():
    """Odd values of a server's entry, by name."""
    values = dict(DOCUMENTS)
    for name, text in nested_values().items():
        values[name] = text.encode()
        if len(text) <= 1_000_000:
            values[f"field_{name}"] = entry(further=text)
    for field in ("slots", "sequence", "born", "cold-remaining-ms", "further"):
        for name, text in NUMBERS.items():
            values[f"{field}_{name}"] = entry(**{field: text})
    for name, text in NUMBERS.items():
        values[f"called_slots_{name}"] = entry(service='"service"', slots=text)
    for number, address in enumerate(ADDRESSES):
        values[f"address_{number}"] = entry(service='"service"', address=json.dumps(address))
    for field in ("service", "address", "zone", "state", "version"):
        for name, text in TEXTS.items():
            values[f"{field}_{name}"] = entry(**{field: text})
    return values


ODD_NAMES = [
    "", " ", "/", "a/b", "a b", 'a"b', "a\\b", "a\nb", "é", "\U0001f680", "%00", "..", "n" * 5000,
    "a\0b", "\0", "a\x7f", "a&after=0", "a?b#c",
]


def odd_values(key):
    """Odd values for a key of another kind."""
    values = dict(DOCUMENTS)
    values.update((name, text.encode()) for name, text in nested_values().items())
    values.update((f"number_{name}", text.encode()) for name, text in NUMBERS.items())
    values["counts"] = b"\xff" * 64
    # Configurations that lack a part are none; one that has all would rightly be followed.
    parts = [
        b'{"version":9,"routes":%s,"services":7}', b'{"version":9,"services":[],"routes":"%s"}',
    ]
    values.update((f"part_{number}", part % b"[]") for number, part in enumerate(parts))
    routes = b"[" * 3000 + b"]" * 3000
    values["routes_nested"] = b'{"version":9,"services":[],"routes":%s}' % routes
    return {f"{key}={name}": (key, value) for name, value in values.items()}


class OddFleet(Fleet):
    def new_backend(self, instance, service):
        return Backend(instance, service, service == "engine", self.random.random(), self.promises)


class OddScenario(Scenario):
    """Odd values come and go beside programs and probes."""

    new_fleet = OddFleet

    def __init__(self, options):
        super().__init__(options)
        self.odd = {}  # Name: (key, value)
        self.odd_group = b"odd"
        self.problems = []

    # The other writer.

    def put_odd(self, name):
        key, value = self.odd[name]
        self.key_value.put_bytes(key, value)

    async def change_in_series(self, names, remove):
        """Puts each value; the next of the same key, or its removal, comes later."""
        for name in names:
            self.put_odd(name)
            if remove and self.random.random() < 0.4:
                taken = self.random.choice(names)
                self.key_value.put_bytes(self.odd[taken][0], None)
            await asyncio.sleep(self.random.expovariate(CHANGES_PER_S))

    async def server_entries(self):
        self.odd = {
            name: (f"servers/odd-{name}", value) for name, value in odd_entries().items()
        }
        for number, name in enumerate(ODD_NAMES):
            self.odd[f"name_{number}"] = (f"servers/{name}", entry())
        names = self.random.sample(sorted(self.odd), len(self.odd))
        return await self.play_around(names)

    async def own_keys(self):
        others = [
            "rudderway/odd", "rudderway/store/odd", "rudderway/store/", "rudderway/",
            "op/retire/odd", "op/retire/", "status/retire/odd", "rudderway-turns/odd",
            "rudderway-turns/store0/odd",
            "unknown", "servers/",
        ]
        for number, (key, row) in enumerate(sorted(self.key_value.items.items())):
            if key.startswith("rudderway/store/") and row[0] is not None and number % 2 == 0:
                others.append(key)
        for key in ["op/config", GROUP_KEY, *others]:
            values = odd_values(key)
            for name in self.random.sample(sorted(values), 5 if key in others else 25):
                self.odd[name] = values[name]
        names = self.random.sample(sorted(self.odd), len(self.odd))
        return await self.play_around(names)

    async def group_changes(self):
        self.key_value.put_bytes(GROUP_KEY, self.odd_group)
        await asyncio.sleep(SEEN_S)
        player = Player(self.cluster, self.key_value, self.fleet)
        try:
            await asyncio.wait_for(
                player.play([Fault(0.0, "retire", 0, 0.0, 0, 0.0)]), RETIRE_S)
        except asyncio.TimeoutError:
            self.problems.append("a storage node was not replaced")
        await self.serves("after a change of the group")
        return {"problems": self.problems, "held": not self.problems}

    # What is judged.

    def answered(self):
        return self.promises.statuses.get(200, 0)

    def ended(self):
        return sum(self.promises.statuses.get(status, 0) for status in ENDED)

    async def play_around(self, names):
        before = {"answered": self.answered(), "ended": self.ended()}
        await self.change_in_series(names, remove=True)
        await self.follows("beside them")
        for name in names:  # All that can stand at once.
            self.put_odd(name)
        await self.serves("beside all")
        answered, ended = self.answered() - before["answered"], self.ended() - before["ended"]
        if answered < ANSWERED_LEAST or ended > 0:
            self.problems.append(f"{answered} calls answered, {ended} ended")
        self.check_processes()
        for node in self.cluster.nodes():
            node.kill()
        # A gateway that starts beside an odd value of the operator's key knows no configuration.
        self.fleet.edit()
        for node in self.cluster.nodes():
            node.start()
        await self.serves("after a start")
        await self.follows("after a start")
        await self.change_in_series(names[: len(names) // 4], remove=True)
        await self.follows("at the end")
        last = max(self.promises.drained.values()) + LAST_RUNS_S
        await asyncio.sleep(max(0.0, last - time.monotonic()))
        self.check_processes()
        rejected = sum(node.log_text().count(REJECTED_EVENT) for node in self.cluster.gateways)
        return {"odd": len(names), "rejected": rejected, "answered": answered, "ended": ended,
                "problems": self.problems, "held": not self.problems}

    def check_processes(self):
        for node in self.cluster.nodes():
            if not node.running():
                self.problems.append(f"{node.name} ended by itself")

    async def until(self, what, check):
        limit = time.monotonic() + FOLLOW_S
        while time.monotonic() < limit:
            if await check():
                return
            await asyncio.sleep(0.1)
        self.problems.append(what)

    async def serves(self, when):
        for gateway in self.cluster.gateways:
            await self.until(f"{gateway.name} serves no turns {when}",
                             lambda g=gateway: self._serves_turns(g))

    async def runs_of(self, gateway):
        """Where some calls through one gateway were run, which were sent at once."""
        calls = await asyncio.gather(*(
            self.caller.attempt((SAFE, UNSAFE)[number % 2], b"order", self.caller.new_id(),
                                gateway=gateway)
            for number in range(CALLS_AT_ONCE)))
        return {instance for attempt_id, _ in calls
                for instance, _ in self.promises.attempts[attempt_id].runs}

    async def follows(self, when):
        """A back end comes, another leaves, and a new configuration is written."""
        added = await self.fleet.add_backend("service")
        removed = next(pair for pair in self.fleet.backends if pair[0].service == "service")
        self.fleet.backends.remove(removed)
        self.key_value.put(f"servers/{removed[0].instance}", None)
        removed_at = time.monotonic()
        self.fleet.edit()
        version = self.fleet.version
        for gateway in self.cluster.gateways:
            await self.until(f"{gateway.name} lacks version {version} {when}",
                             lambda g=gateway: self._probe(g, version))

            if gateway.zone != added.zone:  # It may prefer back ends of its own zone.
                continue

            async def reaches(gateway=gateway):
                return added.instance in await self.runs_of(gateway)
            await self.until(f"{gateway.name} sends no call to {added.instance} {when}", reaches)
        # A run at the removed one breaks a promise from then on.
        self.promises.drained[removed[0].instance] = removed_at + DRAIN_S + DRAIN_SLACK_S


def main():
    options = read_options(new_parser(__doc__, "odd-entries", SCENARIOS))
    play_and_exit(OddScenario, options)


if __name__ == "__main__":
    main()
