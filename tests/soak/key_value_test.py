#!/usr/bin/env python3
"""The stand-in of the key-value service: an answer has all changes up to the revision that it tells."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import key_value

WATCHES = 50
WAIT_S = 0.01
LATE_S = 0.005  # The loop is late, as under load, so that what is due meanwhile is done at once.


async def missed_changes():
    """Watches that end as a key changes; returns how many tell a revision without its change."""
    service = key_value.KeyValueService(1)
    loop = asyncio.get_running_loop()
    missed = 0
    for number in range(WATCHES):
        after = service.revision
        loop.call_later(WAIT_S - LATE_S / 2, time.sleep, LATE_S)
        put = loop.call_later(WAIT_S + LATE_S / 4, service.put, "key", number)
        query = {"path-prefix": "", "after": str(after), "wait-ms": str(int(WAIT_S * 1000))}
        body = json.loads((await service._watch(query)).split(b"\r\n\r\n", 1)[1])
        missed += body["at"] > after and not body["events"]
        put.cancel()
    return missed


def main():
    missed = asyncio.run(missed_changes())
    print(f"{missed} of {WATCHES} watches missed a change")
    sys.exit(0 if missed == 0 else 1)


if __name__ == "__main__":
    main()
