"""Gateways and storage nodes as the deploy file starts them, each on a loopback address of its own.

The settings are the templates of deploy/, filled with the values that `fleetbench wire` shows for the
site cht-preco. The platform's store is the project's own stand-in, tests/soak/key_value.py. Servers
and clients are in servers.py and clients.py.
"""

import asyncio
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))

from key_value import KeyValueService  # noqa: E402
from proxy import Proxy  # noqa: E402

ZONES = ["yul-hall", "yqb-hall", "lacolle-hall"]
RETENTION_S = 60
RECOVERY_S = 12
CONTACT_S = 3.0
CATCH_UP_S = 4.4
HEARTBEAT_S = 1.2
TOKENS_PER_EVENT = 9
HOST = "review.example"
METRICS_PORT = 9464
LONGEST_S = 115


class Platform(KeyValueService):
    """The project's stand-in, with the fields of items and refusals that the pages name."""

    def __init__(self, seed):
        super().__init__(seed)
        self.made = {}  # Key: revision of its creation.

    def _put_encoded(self, key, encoded):
        revision = super()._put_encoded(key, encoded)
        if encoded is None:
            self.made.pop(key, None)
        else:
            self.made.setdefault(key, revision)
        return revision

    def _item(self, key):
        value, revision = self.items[key]
        return {"private-key": key, "value": value, "revision": revision, "made": self.made[key],
                "lease": 0}

    def _present(self, keys):
        return [self._item(key) for key in keys if self.items.get(key, (None, 0))[0] is not None]

    def _list(self, query):
        prefix, after = query.get("path-prefix", ""), query.get("after", "")
        items = self._present(
            key for key in sorted(self.items) if key.startswith(prefix) and key > after)
        return self._json(200, {"items": items[:500], "more": len(items) > 500, "at": self.revision})

    def _events(self, prefix, after):
        events = super()._events(prefix, after)
        return [event if "gone" in event else self._item(event["private-key"]) for event in events]

    def _write(self, body):
        expected = body.get("expected-revision", [])
        for row in expected:
            value, revision = self.items.get(row["private-key"], (None, 0))
            if (0 if value is None else revision) != row["revision"]:
                items = self._present(row["private-key"] for row in expected)
                return self._json(412, {"items": items})
        return super()._write({**body, "expected-revision": []})


class CannotRun(Exception):
    """The case could not be run; the exit status is 2."""


def fill(template, fields):
    """Fills the gaps of a template of a deploy file; an absent value yields nothing."""
    def value(match):
        found = fields
        for part in match.group(1).split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        if found is None:
            return ""
        return str(found).lower() if isinstance(found, bool) else str(found)
    return re.sub(r"\{\{([a-z0-9_.-]+)\}\}", value, template)


def read_roles():
    """The texts of each role in the deploy file."""
    roles = {}
    role = {}
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        for line in file:
            if line.startswith("["):
                found = re.match(r"\[roles\.(\w+)\]", line)
                role = roles.setdefault(found.group(1), {}) if found else {}
            elif (found := re.match(r'(\w+) = "(.*)"$', line.strip())):
                role[found.group(1)] = found.group(2)
    return roles


def port_is_free(address, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """record.txt: what was sent, answered and run, in seconds from the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def note(self, *words):
        print(f"{self.now():9.3f}", *words, file=self.file, flush=True)


class Machine:
    """One machine with one process."""

    def __init__(self, cluster, kind, name, zone, address):
        self.cluster = cluster
        self.kind = kind
        self.name = name
        self.zone = zone
        self.address = address
        self.first_start = True
        self.process = None
        self.folder = os.path.join(cluster.folder, name)
        self.disk = os.path.join(self.folder, "disk")
        self.log_path = os.path.join(self.folder, "log")
        self.platform_port = cluster.platform_port
        os.makedirs(self.disk)

    def fields(self):
        frontend = self.kind == "gateway"
        return {
            "node-name": self.name,
            "zone": self.zone,
            "ip-address": self.address,
            "internal-port-range": [self.cluster.port, self.cluster.port + 15],
            "listen-addresses": {
                "frontend": f"{self.address}:{self.cluster.port + 16}",
                "ready": f"{self.address}:{self.cluster.port + 17}",
            } if frontend else {},
            "data-directory": self.disk,
            "first-start": self.first_start,
            "limits": {"memory-mb": 260 if frontend else 280, "disk-mb": 0 if frontend else 380},
            "fault-tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"grace-s": 8},
            "platform": {"address": f"127.0.0.1:{self.platform_port}", "value_bytes": 1048576},
        }

    @property
    def calls(self):
        return self.address, self.cluster.port + 16

    def start(self):
        role = self.cluster.roles[self.kind]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            settings = fill(file.read(), self.fields())
        path = os.path.join(self.folder, "settings.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        self.first_start = False
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment["RUDDERWAY_SETTINGS"] = path
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.cluster.record.note("start", self.name)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.cluster.record.note(signal.Signals(number).name, self.name)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def lose_disk(self):
        """Empties the disk of a machine whose process does not run."""
        shutil.rmtree(self.disk)
        os.makedirs(self.disk)
        self.cluster.record.note("disk lost", self.name)

    def log_text(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()


class Cluster:
    """The machines, the platform's store, and the configuration in it."""

    def __init__(self, record, seed):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="rudderway-review-")
        self.random = random.Random(seed)
        self.platform = Platform(seed)
        self.machines = []
        self.version = 0
        self.roles = read_roles()
        for role in self.roles.values():
            if not os.access(os.path.join(ROOT, role["run"].split()[0]), os.X_OK):
                raise CannotRun(f"{role['run']} is not built")
        self._choose_addresses()

    def _choose_addresses(self):
        """A block of loopback addresses and ports that nobody uses."""
        draw = random.Random(os.getpid() * 1000003 + time.time_ns())
        for _ in range(50):
            self.block = f"127.{draw.randint(2, 250)}.{draw.randint(1, 250)}."
            self.port = draw.randint(20000, 29000)
            wanted = [self.port + offset for offset in range(20)] + [METRICS_PORT]
            if all(port_is_free(self.block + "1", port) for port in wanted):
                break
        else:
            raise CannotRun("no free loopback addresses")
        self.platform_port = free_port()

    def add(self, kind, number):
        zone = ZONES[(number - 1) % len(ZONES)]
        name = f"{'frontend' if kind == 'gateway' else 'storage'}-{zone}-{1 + (number - 1) // 3}"
        machine = Machine(self, kind, name, zone, self.block + str(1 + len(self.machines)))
        self.machines.append(machine)
        return machine

    def of_kind(self, kind):
        return [machine for machine in self.machines if machine.kind == kind]

    @property
    def stores(self):
        return self.of_kind("store")

    @property
    def gateways(self):
        return self.of_kind("gateway")

    def write_configuration(self):
        """The operator writes a new version; the store's answer is the acknowledgement."""
        self.version += 1
        routes = [{
            "name": "advisor", "host": HOST, "path-prefix": "/advisor/", "kind": "streaming",
            "timeout-ms": 4000, "target-latency-ms": 250, "priority": 1, "service": "agent-models",
            "attempts": 1, "stateful": True, "retention-s": float(RETENTION_S),
            "sticky-sessions": True, "resumable": False, "target-gap-ms": 200,
        }, {
            "name": f"idle-{self.version}", "host": HOST, "path-prefix": f"/idle{self.version}/",
            "kind": "safe", "timeout-ms": 1200, "target-latency-ms": 150, "priority": 2,
            "service": "agent-models", "attempts": 2,
        }]
        services = [{
            "name": "agent-models", "health-path": "/health", "connection-limit": 170,
            "protocol": "h1", "tls": False,
            "engine": {"slots": 12, "kv-cache-tokens": 139361, "kv-token-bytes": 131072,
                       "tokens-per-event": TOKENS_PER_EVENT, "models": [{"name": "m"}]},
        }]
        self.platform.put("op/config", {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        })
        self.record.note("configuration acknowledged, version", self.version)

    async def start(self, gateways):
        await self.start_platform()
        self.add_machines(gateways)
        self.start_machines()

    async def start_platform(self):
        await self.platform.start(self.platform_port)
        self.write_configuration()

    def add_machines(self, gateways):
        for number in (1, 2, 3):
            self.add("store", number)
        for number in range(1, gateways + 1):
            self.add("gateway", number)

    def start_machines(self):
        for machine in self.machines:
            machine.start()

    async def door(self, machine):
        """A way of its own from a machine to the platform's store, which may turn it away."""
        proxy = Proxy(machine.name, free_port(), self.platform_port)
        await proxy.start()
        machine.platform_port = proxy.listen_port
        return proxy

    def stop(self):
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept:", self.folder, file=sys.stderr)


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def finish(record, outcome, detail):
    """Writes the verdict and returns the exit status."""
    names = {0: "held", 1: "broken", 2: "could not run"}
    record.note("verdict:", names[outcome] + ":", detail)
    print(f"{names[outcome]}: {detail}", flush=True)
    return outcome


def run_case(record_path, new_case):
    """Plays a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    def leave(*_):
        raise CannotRun("it was stopped")
    record = Record(record_path)
    case = None
    signal.signal(signal.SIGTERM, leave)
    signal.signal(signal.SIGINT, leave)
    try:
        case = new_case(record)
        loop = asyncio.new_event_loop()
        broken, detail = loop.run_until_complete(asyncio.wait_for(case.play(), LONGEST_S))
        status = finish(record, 1 if broken else 0, detail)
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        status = finish(record, 2, repr(error))
    except Exception as error:
        traceback.print_exc()
        status = finish(record, 2, repr(error))
    finally:
        if case is not None:
            case.cluster.stop()
    os._exit(status)  # Connections of the stand-ins may still be open.
