"""What callers and back ends saw, and the promises judged over it.

Every attempt of a caller is one record. Back ends add what they ran; callers add what they got.
A broken promise is noted once it is seen, with the attempt that shows it.
"""

import time
from collections import deque
from dataclasses import dataclass

from strikes import GATEWAYS

NOT_RUN_STATUSES = {402, 408, 421, 429, 503}
# Tenants: calls a second, and on top at one moment; 0: no limit.
TENANTS = {"bound": (25, 10), "free": (0, 0)}
# The bounds that nodes have by default, `quota` in their settings.
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20


TIMEOUT_S = 3.0  # Of the routes.
CALM_S = 3.0  # So long after an unplanned fault nothing is lost any more.
UNREAD_S = 0.2  # A request may cross the end of its connection.
NEAR_S = 0.05
LAST_PART = 5 / 6  # From here on a stopping gateway needn't wait for a stream.
LAST_PART_SENT_S = 3.0


@dataclass
class ConnectionEnd:
    """A kept connection that ended without a whole answer; times are of time.monotonic()."""

    incarnation: str
    gateway: str
    begun_at: float
    sent_at: float  # Of its last byte; None: it wasn't sent whole.
    ended_at: float
    lag_s: float  # How late the end may have been seen.
    term_at: float  # None: the gateway was not told to stop.
    grace_s: float


class Attempt:
    """One try of a caller, with an id of its own."""

    def __init__(self, attempt_id, route, method, target, body, program, tenant=None):
        self.tenant = tenant
        self.id = attempt_id
        self.route = route
        self.method = method
        self.target = target
        self.body = body  # What a back end must get.
        self.program = program
        self.runs = []  # (instance, time)
        self.produced = {}  # Instance: the body of its whole answer; of plain calls.
        self.finished = {}  # Instance: when it had sent the last of a stream.
        self.refused = False


class Promises:
    """The ledger of a run."""

    def __init__(self):
        self.attempts = {}
        self.turns = {}  # Attempt id: (parent, input, output) of turns answered whole.
        self.handed = {}  # Program: tokens that its callers got.
        self.budgets = {}  # Program: (budget, most of one turn)
        self.broken = []
        self.statuses = {}
        self.tenant_runs = {}  # Tenant: when its calls of the last window were run.
        self.drained = {}  # Instance: time after which no request may reach it.
        self.versions = {}  # Gateway incarnation: highest version seen in force.

    def break_promise(self, promise, attempt_id, detail):
        self.broken.append((promise, attempt_id, detail))
        print(f"BROKEN {promise} attempt={attempt_id} {detail}", flush=True)

    def begin(self, attempt):
        self.attempts[attempt.id] = attempt

    # What back ends see.

    def note_run(self, attempt_id, instance, method, target, body):
        attempt = self.attempts.get(attempt_id)
        if attempt is None:
            self.break_promise("unasked", attempt_id, f"instance={instance} no caller sent it")
            return
        now = time.monotonic()
        attempt.runs.append((instance, now))
        if (method, target) != (attempt.method, attempt.target) or body != attempt.body:
            self.break_promise("unasked", attempt_id, f"instance={instance} the request differs")
        if attempt.refused:
            self.break_promise("refused", attempt_id, f"instance={instance} ran after a refusal")
        if len(attempt.runs) > 1 and not attempt.route.repeatable:
            self.break_promise("twice", attempt_id, f"runs={attempt.runs}")
        if now > self.drained.get(instance, now):
            late = now - self.drained[instance]
            self.break_promise("drain", attempt_id, f"instance={instance} late_s={late:.2f}")
        self._judge_limit(attempt, now)

    def note_finish(self, attempt_id, instance):
        if attempt_id in self.attempts:
            self.attempts[attempt_id].finished[instance] = time.monotonic()

    def _judge_limit(self, attempt, now):
        rate, burst = TENANTS.get(attempt.tenant, (0, 0))
        if rate == 0:
            return
        times = self.tenant_runs.setdefault(attempt.tenant, deque())
        times.append(now)
        while times[0] <= now - WINDOW_S:
            times.popleft()
        most = (rate * WINDOW_S + burst) * (1 + OVERAGE) + SLACK
        if len(times) > most:
            self.break_promise("limit", attempt.id, f"{len(times)} runs in {WINDOW_S} s of {most}")

    # What callers see.

    def note_status(self, status):
        self.statuses[status] = self.statuses.get(status, 0) + 1

    def note_refusal(self, attempt, status):
        if status in NOT_RUN_STATUSES:
            attempt.refused = True
            if attempt.runs and not attempt.route.repeatable:
                self.break_promise("refused", attempt.id, f"status={status} runs={attempt.runs}")

    def note_answer_head(self, attempt, message):
        """True if the answer belongs to the attempt."""
        if message.get("attempt-id") != attempt.id:
            self.break_promise("mixed", attempt.id, f"answer of {message.get('attempt-id')}")
            return False
        signature = message.get("response-signature")
        if message.status == 200 and signature is None:
            self.break_promise("mixed", attempt.id, "a success without a signature")
            return False
        return True

    @staticmethod
    def outlasts_stop(attempt, begun_at, ended_at, term_at, grace_s):
        """True if a back end worked on a stream in the last part of a stop's time."""
        if not attempt.route.stream or term_at is None or not attempt.runs:
            return False
        last_part_at = term_at + grace_s * LAST_PART
        if begun_at > term_at + LAST_PART_SENT_S or ended_at < last_part_at:
            return False
        return any(attempt.finished.get(instance, ended_at) >= last_part_at
                   for instance, _ in attempt.runs)

    def judge_end(self, attempt, end, strikes):
        """A kept connection ends without an answer only by the fault of others than its gateway."""
        unread = end.sent_at is None or end.ended_at - end.lag_s - end.sent_at <= UNREAD_S
        if unread and not attempt.runs:
            return
        if end.ended_at - end.begun_at >= TIMEOUT_S - NEAR_S:
            return
        names = {end.gateway, GATEWAYS, *(instance for instance, _ in attempt.runs)}
        if strikes.struck(names, end.begun_at - CALM_S, end.ended_at):
            return
        if self.outlasts_stop(attempt, end.begun_at, end.ended_at, end.term_at, end.grace_s):
            return
        detail = f"kept connection gateway={end.incarnation} {attempt.route.prefix}"
        detail += f" runs={len(attempt.runs)} cut_after_s={end.ended_at - end.begun_at:.2f}"
        if end.term_at is not None:
            detail += f" sent {end.begun_at - end.term_at:.2f} s after SIGTERM"
            detail += f" of grace_s={end.grace_s}"
        self.break_promise("lost", attempt.id, detail)

    def note_tokens(self, program, tokens):
        if program not in self.budgets:
            return
        self.handed[program] = self.handed.get(program, 0) + tokens
        budget, most = self.budgets[program]
        if self.handed[program] > budget + most:
            self.break_promise("budget", program, f"handed={self.handed[program]} of {budget}")

    def note_turn(self, attempt_id, parent, turn_input, output):
        self.turns[attempt_id] = (parent, turn_input, output)

    def chain(self, turn_id):
        """What a back end must get before the input of a turn that goes on from this one."""
        parts = []
        while turn_id is not None:
            parent, turn_input, output = self.turns[turn_id]
            parts.append(turn_input + output)
            turn_id = parent
        return b"".join(reversed(parts))

    def note_version(self, gateway, sent_at, version):
        """A request that only this version allows was served."""
        highest, seen_at = self.versions.get(gateway, (0, 0.0))
        if version < highest and sent_at > seen_at:
            self.break_promise("config", gateway, f"version {version} after {highest}")
        if version > highest:
            self.versions[gateway] = (version, time.monotonic())
