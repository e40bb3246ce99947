#!/usr/bin/env python3
"""Ports that no other play of this machine uses.

Each play holds a block of ports by a lock on a file, which the kernel releases when the process and
those that inherited the lock have ended. scripts/ports.sh does the same for shell scripts.
"""

import fcntl
import os
import socket
import tempfile

FIRST, END, BLOCK = 10000, 30000, 1000  # Below those that the kernel gives to outgoing connections.
FOLDER = os.path.join(tempfile.gettempdir(), "rudderway-ports")


def is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class Ports:
    """Hands out the free ports of a block, which is held until the process ends."""

    def __init__(self):
        os.makedirs(FOLDER, exist_ok=True)
        blocks = range(FIRST, END, BLOCK)
        first = next((block for block in blocks if self._hold(block)), None)
        if first is None:
            raise OSError(f"all blocks of ports from {FIRST} to {END - 1} are held")
        self.block = range(first, first + BLOCK)
        self.next = 0

    def _hold(self, block):
        """Takes the lock of a block; False if another process has it."""
        self.lock = open(os.path.join(FOLDER, str(block)), "w", encoding="utf-8")
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self.lock.close()
            return False
        return True

    def take(self):
        for _ in self.block:
            port = self.block[self.next % BLOCK]
            self.next += 1
            if is_free(port):
                return port
        raise OSError(f"no port from {self.block[0]} to {self.block[-1]} is free")
