"""Two storage machines are killed one after the other, a conversation goes on meanwhile and later,
and a final fault takes the disk of the third. See claim.txt."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
RECORD = os.path.join(FOLDER, "record.txt")  # What was sent, answered and run.
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

import cluster as shared
from clients import Client, wait_until_ready
from servers import start_servers

KILLED_S = 2.8  # node_kill on a store, as in the site file.
DOWN_S = 1.0  # The final fault, as in the site file.
GATEWAYS = 3
ASKS_EVERY_S = 0.5
LAST_S = 4.0
CONVERSATION, OTHER = "c01a", "07e4"  # Programs.


class Case:
    def __init__(self, record):
        self.record = record
        self.cluster = shared.Cluster(record, seed=2)
        self.client = Client(self.cluster)
        self.servers = []

    async def sleep_until(self, at):
        await asyncio.sleep(max(0.0, at - time.monotonic()))

    async def turn_while_killed(self, store, program, previous, name):
        """A turn while a storage machine is down, which then counts as lost for CATCH_UP_S more."""
        if shared.trouble():
            store.kill()
        killed_at = time.monotonic()
        await asyncio.sleep(0.3)
        answer = await self.client.turn_until_served(
            self.cluster.gateways[:2], program, previous, name)
        await self.sleep_until(killed_at + KILLED_S)
        if shared.trouble():
            store.start()
        await asyncio.sleep(shared.CATCH_UP_S + 0.2)
        return answer

    async def final_fault(self, store):
        """The disk of one storage machine is lost; all other machines lose power."""
        self.cluster.write_configuration()
        await asyncio.sleep(0.1)
        if not shared.trouble():
            await asyncio.sleep(DOWN_S)
            return
        for machine in self.cluster.machines:
            machine.kill()
        store.lose_disk()
        await asyncio.sleep(DOWN_S)
        for machine in self.cluster.machines:
            machine.start()

    async def ask(self, previous, until, results, name):
        """Goes on from a turn, or begins a program, at one gateway after the other."""
        number = 0
        while time.monotonic() < until:
            gateway = self.cluster.gateways[number % GATEWAYS]
            number += 1
            sent_at = time.monotonic()
            answer = await self.client.turn(gateway, self.client.new_id()[:6], previous, name)
            results.append((sent_at, answer))
            await asyncio.sleep(max(0.0, sent_at + ASKS_EVERY_S - time.monotonic()))

    async def play(self):
        self.servers = await start_servers(self.cluster, 6)
        await self.cluster.start(GATEWAYS)
        if not await wait_until_ready(self.cluster, self.client):
            raise shared.CannotRun("the system did not start")
        first, second, third = self.cluster.stores
        turns = []
        previous = None
        begun_at = time.monotonic()
        for store, name in ((third, "turn A"), (first, "turn B")):
            answer = await self.turn_while_killed(store, CONVERSATION, previous, name)
            if answer is None:
                raise shared.CannotRun(f"{name} was not served")
            turns.append(answer)
            previous = answer.id
        await self.sleep_until(begun_at + 48.0)
        turn_c = await self.client.turn_until_served(
            self.cluster.gateways[:2], CONVERSATION, previous, "turn C")
        other = await self.client.turn_until_served(self.cluster.gateways[:2], OTHER, None, "other")
        if turn_c is None or other is None:
            raise shared.CannotRun("turn C or the other conversation was not served")
        # Turn A has been answered RETENTION_S ago, turn C has not.
        await self.sleep_until(turns[0].ended_at + shared.RETENTION_S + 6.0)
        await self.final_fault(second)
        back_at = time.monotonic()
        until = back_at + shared.RECOVERY_S + LAST_S
        asked, others, firsts = [], [], []
        await asyncio.gather(
            self.ask(turn_c.id, until, asked, "after C"),
            self.ask(other.id, until, others, "after other"),
            self.ask(None, until, firsts, "first turn"))
        return self.judge(back_at, turn_c, asked, others + firsts)

    def reached(self, answer):
        """True if a server has begun to work on the try."""
        return any(answer.id in server.runs for server in self.servers)

    def judge(self, back_at, turn_c, asked, others):
        """LOST: such a turn reaches no server by recovery-s after the final fault, though four fifths of
        other turns are served in the last 4 s. Tries go on for 4 s more; the others must be served in the
        4 s before and after that time, else the case says nothing."""
        late = back_at + shared.RECOVERY_S
        age_s = asked[-1][0] - turn_c.ended_at
        reached = sum(self.reached(answer) for _, answer in asked)
        before = [answer.served for at, answer in others if late - LAST_S <= at < late]
        after = [answer.served for at, answer in others if at >= late]
        statuses = sorted({answer.status for _, answer in asked})
        detail = (f"{reached} of {len(asked)} tries to go on from turn C reached a server (statuses "
                  f"{statuses}); turn C was {age_s:.1f} s old at the last, retention-s is "
                  f"{shared.RETENTION_S}; other turns served: {sum(before)} of {len(before)} in the last "
                  f"{LAST_S:.0f} s of recovery-s, {sum(after)} of {len(after)} in the {LAST_S:.0f} s after")
        enough = all(sum(part) >= 0.8 * len(part) > 0 for part in (before, after))
        if not enough or age_s >= shared.RETENTION_S:
            raise shared.CannotRun(detail)
        return reached == 0, detail


if __name__ == "__main__":
    shared.run_case(RECORD, Case)
