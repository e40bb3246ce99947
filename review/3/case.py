"""A gateway freezes for 1.3 s while turns wait to be confirmed; 59 s after their answers they are gone.
See claim.txt."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

import cluster as shared
from clients import Client, wait_until_ready
from servers import start_servers

GATEWAYS = 3
CLIENTS = 60
BEFORE_FREEZE_S = 0.5  # The clients begin so long before.
INPUT_BYTES = 4300  # As in the site file.
FROZEN_S = 1.3  # Shorter than a client's patience (2 s) and the site's own freezes.
UPKEEP_S = 5.0  # A storage node removes what has expired so often.
BEFORE_UPKEEP_S = 0.35  # A freeze begins so long before one of these times.
ASKED_AFTER_UPKEEP_S = 0.25
FREEZES = 3
GATHER_S = 0.15  # Streams end together, at the end of such a pause, just before a freeze.
AGE_MOST_S = 59.9  # A turn is asked for before it is RETENTION_S old.
ASKED_MOST = 12  # For each freeze.


class Case:
    def __init__(self, record):
        self.record = record
        self.cluster = shared.Cluster(record, seed=3)
        self.client = Client(self.cluster, INPUT_BYTES)
        self.servers = []
        self.answers = []
        self.asked = []  # (age in s, Answer)
        self.others = []

    async def sleep_until(self, at):
        await asyncio.sleep(max(0.0, at - time.monotonic()))

    async def programs(self, woken_at):
        """One program after the other, of one turn each, at the first gateway; two after a freeze."""
        left = 2
        while left > 0:
            left -= time.monotonic() > woken_at
            answer = await self.client.turn(self.cluster.gateways[0], self.client.new_id()[:8])
            if answer.served:
                self.answers.append(answer)

    async def freeze(self, at):
        """The turns that were being confirmed at that time, and some of later."""
        await self.sleep_until(at - BEFORE_FREEZE_S)
        work = [asyncio.create_task(self.programs(at + FROZEN_S)) for _ in range(CLIENTS)]
        await self.sleep_until(at - GATHER_S)
        for server in self.servers:
            server.held_until = at
        await self.sleep_until(at + 0.0005)
        gateway = self.cluster.gateways[0]
        frozen_at = time.monotonic()
        if shared.trouble():
            gateway.signal(signal.SIGSTOP)
        await self.sleep_until(at + FROZEN_S)
        woken_at = time.monotonic()
        if shared.trouble():
            gateway.signal(signal.SIGCONT)
        await asyncio.gather(*work)
        if shared.trouble():
            held = [answer for answer in self.answers
                    if answer.last_event_at < frozen_at and answer.ended_at >= woken_at]
        else:
            held = [answer for answer in self.answers if woken_at <= answer.ended_at < woken_at + 0.1]
        later = [answer for answer in self.answers
                 if answer.ended_at > woken_at + 0.1 and answer not in held]
        return held[:ASKED_MOST], later[:ASKED_MOST]

    async def ask(self, turns, results, name):
        """Goes on from each of the turns, at a gateway that has not seen it."""
        async def one(number, turn):
            gateway = self.cluster.gateways[1 + number % (GATEWAYS - 1)]
            age_s = time.monotonic() - turn.ended_at
            answer = await self.client.turn(
                gateway, self.client.new_id()[:8], turn.id, f"{name}, age {age_s:.2f} s,")
            if age_s < AGE_MOST_S:
                results.append((age_s, answer))
        await asyncio.gather(*(one(number, turn) for number, turn in enumerate(turns)))

    async def play(self):
        self.servers = await start_servers(self.cluster, 6)
        await self.cluster.start(GATEWAYS)
        stores_at = time.monotonic()
        if not await wait_until_ready(self.cluster, self.client, for_s=9.0):
            raise shared.CannotRun("the system did not start")
        upkeep_at = stores_at + UPKEEP_S * 2
        if time.monotonic() > upkeep_at - BEFORE_UPKEEP_S - 1.0:
            upkeep_at += UPKEEP_S
        found = []
        for number in range(FREEZES):
            at = upkeep_at + UPKEEP_S * number
            held, later = await self.freeze(at - BEFORE_UPKEEP_S)
            self.record.note("held", len(held), "later", len(later))
            found.append((at + shared.RETENTION_S + ASKED_AFTER_UPKEEP_S, held, later))
        for ask_at, held, later in found:
            await self.sleep_until(ask_at)
            await asyncio.gather(self.ask(held, self.asked, "after a held turn"),
                                 self.ask(later, self.others, "after a later turn"))
        return self.judge()

    def judge(self):
        """LOST: a turn that was answered whole less than retention-s ago is answered 404 or 410."""
        gone = [age for age, answer in self.asked if answer.status in (404, 410)]
        served = sum(answer.served for _, answer in self.asked)
        others = sum(answer.served for _, answer in self.others)
        others_gone = sum(answer.status in (404, 410) for _, answer in self.others)
        ages = f" at ages of {min(gone):.2f} to {max(gone):.2f} s" if gone else ""
        detail = (f"of {len(self.asked)} turns that a gateway held while it was frozen, {len(gone)} were "
                  f"answered 404{ages}, {served} were served; of {len(self.others)} turns of just after, "
                  f"{others_gone} were answered 404, {others} were served; retention-s is "
                  f"{shared.RETENTION_S}")
        if len(self.asked) == 0 or others == 0:
            raise shared.CannotRun(detail)
        return len(gone) + others_gone > 0, detail


def main():
    record = shared.Record(FOLDER)
    case = None
    try:
        case = Case(record)
        loop = asyncio.new_event_loop()
        broken, detail = loop.run_until_complete(asyncio.wait_for(case.play(), 115))
        return shared.finish(record, 1 if broken else 0, detail)
    except (shared.CannotRun, asyncio.TimeoutError, OSError) as error:
        return shared.finish(record, 2, repr(error))
    finally:
        if case is not None:
            case.cluster.stop()


if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    os._exit(status)  # Connections of the stand-ins may still be open.
