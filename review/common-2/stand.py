"""A small deployment on loopback: gateways and storage nodes as the deploy file starts them, the
platform's store, servers and clients. Every process has a loopback address of its own.

The platform's store is the project's stand-in, tests/soak/key_value.py; servers and clients are
written here after PROTOCOL.md.
"""

import asyncio
import os
import random
import re
import resource
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))

from http_message import read_head, read_request, render, render_answer, render_chunk  # noqa: E402
from key_value import KeyValueService  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The figures of sites/mlrp-collect.toml, as DEPLOY.md shows them.
BOUNDS = {"contact-ms": 3000, "catch-up-s": 4.3, "grace-s": 8, "recovery-s": 12}
ZONES = ["neng-a", "neng-b", "neng-c", "neng-d"]
HOST = "review.example"


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


def fill(template, fields):
    """The gaps of DEPLOY.md that the project's templates use: {{a}}, {{a.b}}, {{a.0}}."""

    def value(match):
        found = fields
        for part in match.group(1).split("."):
            if isinstance(found, list):
                found = found[int(part)]
            else:
                found = (found or {}).get(part)
        if isinstance(found, bool):
            return "true" if found else "false"
        return "" if found is None else str(found)

    return re.sub(r"\{\{([^}]*)\}\}", value, template)


class Node:
    """A machine with one process."""

    def __init__(self, cluster, role, number):
        self.cluster, self.role = cluster, role
        self.is_store = role["on"] == "storage"
        self.name = f"{role['on']}-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.ip = f"{cluster.net}.{(100 if self.is_store else 10) + number}"
        self.first_start = True
        self.process = None
        self.starts = 0
        self.log = os.path.join(cluster.folder, self.name + ".log")
        self.data = os.path.join(cluster.folder, self.name + ".data")

    def fields(self):
        cluster = self.cluster
        fields = {
            "node-name": self.name, "zone": self.zone, "ip-address": self.ip,
            "internal-port-range": [7380, 7395], "first-start": self.first_start,
            "limits": {"memory-mb": cluster.memory_mb[self.is_store],
                       "file-descriptors": cluster.descriptors, "disk-mb": 350},
            "bounds": BOUNDS, "fault-tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "platform": {"address": cluster.platform, "value_bytes": 1048576},
            "listen-addresses": {"frontend": f"{self.ip}:8149", "ready": f"{self.ip}:8141"},
        }
        if self.is_store:
            fields["data-directory"] = self.data
        return fields

    def start(self):
        if self.is_store:
            os.makedirs(self.data, exist_ok=True)
        settings = os.path.join(self.cluster.folder, self.name + ".ini")
        with open(os.path.join(ROOT, self.role["template"]), encoding="utf-8") as file:
            text = fill(file.read(), self.fields())
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.first_start = False
        self.starts += 1
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["RUDDERWAY_SETTINGS"] = settings
        words = shlex.split(self.role["run"])
        words[0] = os.path.join(os.environ.get("TARGET", os.path.join(ROOT, "target")),
                                os.path.basename(words[0]))
        limit = self.cluster.descriptors
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit)))

    def running(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        if self.running():
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def wipe(self):
        shutil.rmtree(self.data, ignore_errors=True)

    def log_text(self):
        with open(self.log, encoding="utf-8", errors="replace") as file:
            return file.read()

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                return int(re.search(r"VmRSS:\s+(\d+) kB", file.read()).group(1)) / 1024
        except (OSError, AttributeError):
            return 0.0


class Server:
    """One server: `work` answers a request that it runs."""

    def __init__(self, cluster, service, number, work):
        self.cluster, self.service, self.work = cluster, service, work
        self.instance = f"i-{cluster.random.getrandbits(32):08x}"
        self.zone = ZONES[number % len(ZONES)]
        self.ip = f"{cluster.net}.{200 + number}"
        self.running = 0
        self.runs = []  # (time, attempt id, method, target, body)

    async def start(self, slots=12):
        server = await asyncio.start_server(self._serve, self.ip, 0, limit=2**16)
        self.port = server.sockets[0].getsockname()[1]
        self.cluster.kv.put(f"servers/{self.instance}", {
            "service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
            "version": "1.0", "slots": slots, "state": "ready", "cold-remaining-ms": 0,
            "sequence": 1})

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                attempt = request.get("attempt-id")
                if request.get("expect-instance") not in (None, self.instance):
                    writer.write(render_answer(421, [("Attempt-Id", attempt), ("Not-Executed", 1)]))
                    continue
                self.runs.append((time.monotonic(), attempt, request.method, request.target,
                                  request.body))
                self.running += 1
                try:
                    await self.work(self, request, writer)
                finally:
                    self.running -= 1
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def fields(self, request):
        return [("Attempt-Id", request.get("attempt-id")),
                ("Response-Signature", f"{self.instance}.{request.get('attempt-id')}")]


async def stream_events(server, request, writer, events=3, pause_s=lambda: 0.01):
    """A stream of events; `pause_s` tells the time to the next one."""
    writer.write(render("HTTP/1.1 200 OK", server.fields(request) + [
        ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"),
        ("Weight-Versions", 1)]))
    for number in range(1, events + 1):
        await asyncio.sleep(pause_s())
        data = event_data(request.get("attempt-id"), number)
        writer.write(render_chunk(f"id: {number}\ndata: {data}\n\n".encode()))
        await writer.drain()
    writer.write(render_chunk(b""))
    await writer.drain()


def event_data(attempt, number):
    return f"{attempt}.{number}"


class Cluster:
    """The processes of a small deployment."""

    def __init__(self, memory_mb=(220, 230), descriptors=4100):
        self.random = random.Random()
        self.folder = tempfile.mkdtemp(prefix="rudderway-review-")
        self.memory_mb = memory_mb
        self.descriptors = descriptors
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.net = self._free_net()
        self.platform = None
        self.kv = KeyValueService(1)
        self.nodes = []
        self.stores, self.gateways = [], []

    def _free_net(self):
        while True:
            net = f"127.{self.random.randint(1, 254)}.{self.random.randint(0, 254)}"
            with socket.socket() as probe:
                try:
                    probe.bind((f"{net}.10", 8149))
                    return net
                except OSError:
                    continue

    async def start_platform(self, configuration):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        await self.kv.start(port)
        self.platform = f"127.0.0.1:{port}"
        self.kv.put("op/config", configuration)

    def start_nodes(self, stores, gateways):
        for kind, count in (("store", stores), ("gateway", gateways)):
            nodes = self.stores if kind == "store" else self.gateways
            for number in range(count):
                node = Node(self, self.roles[kind], number)
                nodes.append(node)
                self.nodes.append(node)
                node.start()

    async def ready(self, patience_s=25):
        """True once every gateway says so."""
        until = time.monotonic() + patience_s
        waiting = list(self.gateways)
        while waiting and time.monotonic() < until:
            waiting = [node for node in waiting if not await is_ready(node)]
            await asyncio.sleep(0.1)
        return not waiting

    def end(self):
        for node in self.nodes:
            node.kill()
        if os.environ.get("KEEP") is None:
            shutil.rmtree(self.folder, ignore_errors=True)


async def is_ready(node):
    try:
        reader, writer = await asyncio.open_connection(node.ip, 8141)
        writer.write(render("GET /-/readiness HTTP/1.1", [("Host", "x")]))
        head = await asyncio.wait_for(read_head(reader), 1)
        writer.close()
        return head is not None and head.status == 200
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return False


def new_id():
    return f"{random.getrandbits(64):016x}"


def route(name, prefix, kind, service, timeout_ms, **more):
    return {"name": name, "host": HOST, "path-prefix": prefix, "kind": kind, "service": service,
            "timeout-ms": timeout_ms, "target-latency-ms": 200, "priority": 0, "attempts": 1, **more}


def configuration(routes):
    return {
        "version": 3, "routes": routes,
        "services": [{"name": "agent-llm", "health-path": "/health", "connection-limit": 160,
                      "engine": {"slots": 12, "tokens-per-event": 1}},
                     {"name": "collect-app", "health-path": "/health", "connection-limit": 110}],
        # `body_bytes` of the site file is 4194304.
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    }


class Answer:
    def __init__(self):
        self.status, self.whole, self.body, self.head = 0, False, b"", None


async def read_body(reader, head):
    """The whole body of an answer; raises if it is cut off."""
    if head.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return b"".join(parts)
            parts.append(data[:size])
    if head.get("content-length") is not None:
        return await reader.readexactly(int(head.get("content-length")))
    return await reader.read()


async def call(node, method, target, attempt, fields, body=b"", deadline_ms=4000):
    """One client attempt on a new connection."""
    answer = Answer()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(node.ip, 8149), 1)
        head = [("Host", HOST), ("Attempt-Id", attempt), ("Deadline-Milliseconds", deadline_ms)]
        if method != "GET":
            head.append(("Content-Length", len(body)))
        writer.write(render(f"{method} {target} HTTP/1.1", head + fields, body))

        async def read():
            answer.head = await read_head(reader)
            if answer.head is None:
                return
            answer.status = answer.head.status
            answer.body = await read_body(reader, answer.head)
            answer.whole = True

        await asyncio.wait_for(read(), deadline_ms / 1000 + 0.5)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


def retry_after_s(answer, left_s=4.0):
    """How long a client waits after an answer: it honours Retry-After up to a third of its time."""
    told = float(answer.head.get("retry-after", "0")) if answer.head is not None else 0.0
    return max(0.1, min(told, left_s / 3))


def run_case(path, main):
    """Plays `main(clusters, record)`; its result is the exit status: 1 broken, 0 held, 2 not run.

    `path` is that of record.txt."""
    record = Record(path)
    record(f"TROUBLE={1 if TROUBLE else 0}")

    clusters = []

    async def play():
        try:
            return await asyncio.wait_for(main(clusters, record), 115)
        except asyncio.TimeoutError:
            record("the case did not end in time")
            return 2

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        status = asyncio.new_event_loop().run_until_complete(play())
    except (Exception, SystemExit, KeyboardInterrupt) as error:  # pylint: disable=broad-except
        record(f"could not run: {error!r}")
        status = 2
    for cluster in clusters:
        cluster.end()
    record(f"exit {status}")
    print(f"exit {status}", flush=True)
    os._exit(status)
