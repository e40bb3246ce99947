#!/usr/bin/env python3
"""Each promise that the soak judges is broken once here, and must be noticed; a sound run passes."""

import asyncio
import contextlib
import io
import os
import subprocess
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from callers import SAFE, TURN, UNSAFE, Caller, Result
from cluster import Cluster
from http_message import Message
from promises import SLACK, TENANTS, WINDOW_S, Attempt, Promises


class PromisesTest(unittest.TestCase):
    def setUp(self):
        self.promises = Promises()
        self.quiet = contextlib.redirect_stdout(io.StringIO())
        self.quiet.__enter__()
        self.addCleanup(self.quiet.__exit__, None, None, None)

    def begin(self, route, attempt_id="01", program=None):
        attempt = Attempt(attempt_id, route, "POST", route.prefix, b"body", program)
        self.promises.begin(attempt)
        return attempt

    def run_at(self, attempt, instance="i", body=b"body"):
        self.promises.note_run(attempt.id, instance, attempt.method, attempt.target, body)

    def broken(self):
        return [row[0] for row in self.promises.broken]

    def judge_stream(self, attempt, events):
        result = Result()
        caller = Caller(self.promises, [], 1)
        for number, data in events:
            caller._take_event(attempt, f"id: {number}\ndata: {data}".encode(), result)
        caller._judge_whole(attempt, Message("HTTP/1.1 200 OK", {}), result)

    def sound_events(self, attempt):
        from backends import event_data, events_of

        count = events_of(attempt.id)
        return [(n, event_data(attempt.id, attempt.body, n)) for n in range(1, count + 1)]

    def test_a_sound_run_breaks_nothing(self):
        attempt = self.begin(TURN)
        self.run_at(attempt)
        self.judge_stream(attempt, self.sound_events(attempt))
        safe = self.begin(SAFE, "02")
        self.run_at(safe, "i")
        self.run_at(safe, "j")
        self.promises.note_refusal(safe, 503)
        self.assertEqual(self.broken(), [])

    def test_a_second_run_of_an_unrepeatable_call(self):
        attempt = self.begin(UNSAFE)
        self.run_at(attempt, "i")
        self.run_at(attempt, "j")
        self.assertEqual(self.broken(), ["twice"])

    def test_a_refusal_after_a_run(self):
        attempt = self.begin(UNSAFE)
        self.run_at(attempt)
        self.promises.note_refusal(attempt, 503)
        self.assertEqual(self.broken(), ["refused"])

    def test_a_run_after_a_refusal(self):
        attempt = self.begin(UNSAFE)
        self.promises.note_refusal(attempt, 402)
        self.run_at(attempt)
        self.assertEqual(self.broken(), ["refused"])

    def test_a_request_that_nobody_sent_or_that_was_changed(self):
        self.promises.note_run("ff", "i", "POST", "/", b"")
        self.run_at(self.begin(TURN), body=b"another conversation" + b"body")
        self.assertEqual(self.broken(), ["unasked", "unasked"])

    def test_an_answer_of_another_call_or_without_a_signature(self):
        attempt = self.begin(UNSAFE)
        other = Message("HTTP/1.1 200 OK", {"attempt-id": "02", "response-signature": "s"})
        unsigned = Message("HTTP/1.1 200 OK", {"attempt-id": "01"})
        self.assertFalse(self.promises.note_answer_head(attempt, other))
        self.assertFalse(self.promises.note_answer_head(attempt, unsigned))
        self.assertEqual(self.broken(), ["mixed", "mixed"])

    def test_a_stream_with_a_piece_missing_twice_or_foreign(self):
        attempt = self.begin(TURN)
        events = self.sound_events(attempt)
        self.judge_stream(attempt, events[:-1])
        self.judge_stream(attempt, events[:1] + events)
        self.judge_stream(attempt, [(1, "another.call.1")] + events[1:])
        self.assertIn("order", self.broken())
        self.assertIn("mixed", self.broken())
        self.assertEqual(self.broken().count("mixed"), 1)

    def test_a_body_that_no_server_made(self):
        attempt = self.begin(SAFE)
        attempt.produced["i"] = b"made"
        result = Result()
        result.output = b"made up"
        message = Message("HTTP/1.1 200 OK", {})
        Caller(self.promises, [], 1)._judge_whole(attempt, message, result)
        self.assertEqual(self.broken(), ["mixed"])

    def test_a_budget_overspent(self):
        self.promises.budgets["p"] = (10, 5)
        for _ in range(3):
            self.promises.note_tokens("p", 5)
        self.assertEqual(self.broken(), [])
        self.promises.note_tokens("p", 5)
        self.assertEqual(self.broken(), ["budget"])

    def test_a_request_at_a_server_long_drained(self):
        self.promises.drained["i"] = time.monotonic() - 1
        self.run_at(self.begin(SAFE))
        self.assertEqual(self.broken(), ["drain"])

    def test_a_tenant_beyond_its_limit(self):
        rate, burst = TENANTS["bound"]
        allowed = int((rate * WINDOW_S + burst) * 1.1 + SLACK)
        for tenant, count in (("free", 2 * allowed), ("bound", allowed)):
            for number in range(count):
                attempt = self.begin(SAFE, f"{tenant}{number}")
                attempt.tenant = tenant
                self.run_at(attempt)
        self.assertEqual(self.broken(), [])
        self.run_at(attempt)
        self.assertEqual(self.broken(), ["limit"])

    def test_a_configuration_that_goes_back(self):
        self.promises.note_version("gateway0.1", time.monotonic(), 5)
        self.promises.note_version("gateway0.2", time.monotonic() + 1, 4)
        self.assertEqual(self.broken(), [])
        self.promises.note_version("gateway0.1", time.monotonic() + 1, 4)
        self.assertEqual(self.broken(), ["config"])


class SleeperCluster(Cluster):
    """Its nodes are processes that sleep."""

    def spawn(self, node, settings):
        return subprocess.Popen(["sleep", "60"])


class PlannedStopTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.promises = Promises()
        self.cluster = SleeperCluster("", folder.name, self.promises)
        self.node = self.cluster.add("store")
        self.node.start()
        self.addCleanup(self.cluster.stop_all)

    def test_a_stop_ends_though_another_fault_starts_the_node_again(self):
        async def stop():
            stopping = asyncio.create_task(self.cluster.stop_planned(self.node))
            await asyncio.sleep(0)
            self.node.process.wait()
            self.node.start()
            await asyncio.wait_for(stopping, 30)

        asyncio.run(stop())
        self.assertTrue(self.node.running())
        self.assertIsNone(self.node.term_at)
        self.assertEqual(self.promises.broken, [])


if __name__ == "__main__":
    unittest.main()
