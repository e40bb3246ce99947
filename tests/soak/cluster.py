"""The processes of a soak: gateways, storage nodes, and the proxies between them."""

import asyncio
import os
import resource
import shutil
import signal
import time

from ports import Ports
from promises import NEAR_S, TIMEOUT_S
from proxy import Proxy
from strikes import Strikes
from zone_cut import ZoneCut, read_connections

ZONES = ["za", "zb", "zc"]
GRACE_S = 6
STOP_LATE_S = 4  # A process that has not ended so long after its grace period is killed.
COMPLETE_EVENT = "E804 "
CALM_S = 3.0  # So long after the last fault a planned stop must cut nothing off.


def set_limits(descriptors):
    """A write beyond the limit on files is to fail, not to end the process."""
    signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    if descriptors is not None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))


class Node:
    """One process with its settings; its way to the key-value service leads through a proxy."""

    def __init__(self, cluster, kind, name, zone, first_start):
        self.cluster = cluster
        self.kind = kind
        self.name = name
        self.zone = zone
        self.first_start = first_start
        self.process = None
        self.incarnation = ""
        self.starts = 0
        self.paused = False
        self.term_at = None
        self.log_path = os.path.join(cluster.folder, name + ".log")
        self.data = os.path.join(cluster.folder, name + ".data")
        ports = cluster.ports
        self.calls_port, self.readiness_port = ports.take(), ports.take()
        self.peer_port = ports.take()
        self.metrics_port = ports.take()
        self.key_value_proxy = cluster.proxy(
            f"{name}-key-value", ports.take(), cluster.key_value_port, near_zone=zone
        )
        self.peer_proxy = cluster.proxy(f"{name}-peer", ports.take(), self.peer_port, far_zone=zone)
        self.calls_proxy = Proxy(f"{name}-calls", ports.take(), self.calls_port)

    @property
    def calls_proxy_port(self):
        return self.calls_proxy.listen_port

    async def prepare(self):
        for proxy in (self.key_value_proxy, self.peer_proxy, self.calls_proxy):
            await proxy.start()

    def _write_settings(self, path):
        lines = [
            f"[node]\nname={self.name}\nzone={self.zone}\nlog_level=info\n"
            f"grace_ms={round(self.cluster.grace_s * 1000)}",
            *self._memory_lines(),
            f"[key_value]\naddress=127.0.0.1:{self.key_value_proxy.listen_port}",
            f"[peer]\nlisten=127.0.0.1:{self.peer_port}",
        ]
        if self.kind == "store":
            os.makedirs(self.data, exist_ok=True)
            lines[-1] += f"\nadvertise=127.0.0.1:{self.peer_proxy.listen_port}"
            first = "true" if self.first_start else "false"
            lines.append(f"[store]\nfolder={self.data}\nfirst_start={first}")
        else:
            lines.append(
                f"[gateway]\ncalls=127.0.0.1:{self.calls_port}\n"
                f"readiness=127.0.0.1:{self.readiness_port}"
            )
            if self.cluster.tolerated_zones > 0:
                lines[-1] += f"\ntolerated_zones={self.cluster.tolerated_zones}"
        lines.append(f"[metrics]\nlisten=127.0.0.1:{self.metrics_port}")
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")

    def _memory_lines(self):
        memory_mb = self.cluster.memory_mb.get(self.kind)
        return [] if memory_mb is None else [f"memory_megabytes={memory_mb}"]

    def start(self):
        """Starts the process unless it runs."""
        if self.running():
            return
        settings = os.path.join(self.cluster.folder, self.name + ".ini")
        self._write_settings(settings)
        self.first_start = False
        self.starts += 1
        self.incarnation = f"{self.name}.{self.starts}"
        self.term_at = None
        self.paused = False
        self.process = self.cluster.spawn(self, settings)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running():
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def pause(self):
        self.signal(signal.SIGSTOP)
        self.paused = True

    def resume(self):
        self.signal(signal.SIGCONT)
        self.paused = False

    def wipe(self):
        """Removes what is on the disk of a node that does not run."""
        shutil.rmtree(self.data, ignore_errors=True)

    def tear_tail(self, length):
        """Leaves a torn record at the end of the newest file of the log."""
        files = [os.path.join(self.data, name) for name in os.listdir(self.data)]
        files = [path for path in files if os.path.isfile(path) and "state" not in path]
        if files:
            with open(max(files, key=os.path.getmtime), "ab") as file:
                file.write(os.urandom(length))

    def limit_files(self, limited):
        """While limited, no file of the process can grow: its disk is full."""
        if self.running():
            size = 0 if limited else resource.RLIM_INFINITY
            resource.prlimit(
                self.process.pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY)
            )

    def log_text(self):
        try:
            with open(self.log_path, encoding="utf-8", errors="replace") as file:
                return file.read()
        except OSError:
            return ""

    def completions(self):
        """How often the storage node has said that it holds all that its group acknowledged."""
        return self.log_text().count(COMPLETE_EVENT)

    def note_end(self, attempt, result, sent_at, incarnation):
        """Judges an attempt that ended at this gateway: a planned stop cuts off nothing."""
        calm = self.cluster.calm_since
        stopped = self.term_at is not None and incarnation == self.incarnation
        if not stopped or calm is None or sent_at < calm + CALM_S or result.left:
            return
        promises = self.cluster.promises
        # What has begun to be answered may be cut at the end of its time.
        ended_at = time.monotonic()
        timeout = result.status != 0 and ended_at - sent_at >= TIMEOUT_S - NEAR_S
        if timeout or promises.outlasts_stop(
                attempt, sent_at, ended_at, self.term_at, self.cluster.grace_s):
            return
        if attempt.runs and not result.whole:
            detail = f"gateway={incarnation} {sent_at - self.term_at:.2f} s after SIGTERM"
            promises.break_promise("lost", attempt.id, "cut by a planned stop " + detail)


class Cluster:
    """All nodes of a run."""

    def __init__(self, build, folder, promises, tolerated_zones=0, grace_s=GRACE_S):
        self.grace_s = grace_s
        self.memory_mb = {}  # Kind of node: memory of its machine; without it the default.
        self.descriptor_limits = {}  # Kind of node: how many descriptors a process may have.
        self.tolerated_zones = tolerated_zones
        self.proxies = []  # Those that a cut of a zone concerns.
        self.all_nodes = []  # Also those that were taken away.
        self.cut = None
        self.strikes = Strikes()
        self.stops = {}  # Incarnation: when it was told to stop.
        self.build = build
        self.folder = folder
        self.ports = Ports()
        self.key_value_port = self.ports.take()
        self.promises = promises
        self.gateways = []
        self.stores = []
        self.added = {"gateway": 0, "store": 0}
        self.faults_active = 0
        self.calm_since = time.monotonic()
        self.own_ends = []

    def add(self, kind, first_start=False):
        nodes = self.gateways if kind == "gateway" else self.stores
        # Not their present count: once one has been taken away, that names a node which is there.
        number = self.added[kind]
        self.added[kind] += 1
        node = Node(self, kind, f"{kind}{number}", ZONES[number % len(ZONES)], first_start)
        nodes.append(node)
        self.all_nodes.append(node)
        return node

    def proxy(self, *arguments, **zones):
        proxy = Proxy(*arguments, **zones)
        proxy.set_cut(self.cut)
        self.proxies.append(proxy)
        return proxy

    def cut_zone(self, zone, silent):
        self._set_cut(ZoneCut(zone, silent, self.all_nodes))

    def heal_zone(self):
        self._set_cut(None)

    def _set_cut(self, cut):
        self.cut = cut
        connections = read_connections()
        for proxy in self.proxies:
            proxy.set_cut(cut, connections)

    def nodes(self):
        return self.gateways + self.stores

    def spawn(self, node, settings):
        import subprocess

        program = os.path.join(self.build, f"rudderway-{node.kind}")
        with open(node.log_path, "ab") as log:
            return subprocess.Popen(
                [program, "--settings", settings],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                preexec_fn=lambda: set_limits(self.descriptor_limits.get(node.kind)),
            )

    def fault_begins(self):
        self.faults_active += 1
        self.calm_since = None

    def fault_ends(self):
        self.faults_active -= 1
        if self.faults_active == 0:
            self.calm_since = time.monotonic()

    def stop_all(self):
        # Also one that a fault took away and that was still being emptied.
        for node in self.all_nodes:
            node.resume()
            node.kill()

    async def stop_planned(self, node, late_s=STOP_LATE_S):
        """SIGTERM, and the process must end by itself within its time."""
        # Another fault may start the node again: what is judged is this process.
        process, term_at = node.process, time.monotonic()
        node.term_at = self.stops[node.incarnation] = term_at
        node.signal(signal.SIGTERM)
        while process.poll() is None:
            if time.monotonic() - term_at > self.grace_s + late_s and not node.paused:
                self.promises.break_promise("stop", node.name, "still runs after its time")
                process.kill()
                process.wait()
            await asyncio.sleep(0.05)

    def check_ends(self):
        """A process that ended by itself is a fault of its own."""
        for node in self.nodes():
            if node.process is not None and node.process.poll() not in (None, 0, -signal.SIGKILL):
                self.promises.break_promise("exit", node.name, f"code {node.process.poll()}")
                node.process = None
