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

from backends import LARGE_LEAST_BYTES, Backend
from callers import RESUMABLE, SAFE, TURN, UNSAFE, Caller, Result
from cluster import Cluster
from http_message import Message
from faults import FEATURES, Fault, Player, draw_feature_faults
from promises import SLACK, TENANTS, WINDOW_S, Attempt, ConnectionEnd, Promises
from strikes import GATEWAYS, Strikes


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

    def test_a_large_answer_is_the_same_for_each_run_of_a_request(self):
        class Writer:
            written = b""

            def write(self, data):
                self.written += data

        backend = Backend("i", "service", False, 1, self.promises)
        backend.sizes = "large 1"
        lengths = set()
        for number in range(50):
            attempt = self.begin(SAFE, f"{number:02}")
            answers = []
            for _ in range(2):
                writer = Writer()
                backend._answer_whole(Message("", {}), attempt.id, [], writer)
                answers.append(writer.written)
            self.assertEqual(answers[0], answers[1])
            lengths.add(len(attempt.produced["i"]) >= LARGE_LEAST_BYTES - 512)
        self.assertEqual(lengths, {False, True})

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


class KeptConnectionTest(unittest.TestCase):
    """A request is sent whole at 100.1 and its connection ends at 101, in calm, unless said."""

    def setUp(self):
        self.promises = Promises()
        self.strikes = Strikes()
        self.quiet = contextlib.redirect_stdout(io.StringIO())
        self.quiet.__enter__()
        self.addCleanup(self.quiet.__exit__, None, None, None)

    def judge(self, route=UNSAFE, runs=("i",), finished=None, **times):
        """True if the request counts as lost."""
        attempt = Attempt("01", route, "POST", route.prefix, b"body", None)
        attempt.runs = [(instance, 100.2) for instance in runs]
        attempt.finished = finished or {}
        end = {"begun_at": 100.0, "sent_at": 100.1, "ended_at": 101.0, "lag_s": 0.0,
               "term_at": None, "grace_s": 6.0}
        before = len(self.promises.broken)
        self.promises.judge_end(
            attempt, ConnectionEnd("gateway0.1", "gateway0", **{**end, **times}), self.strikes)
        return len(self.promises.broken) > before

    def strike(self, name, begun_at, ended_at):
        self.strikes.spans.append([name, begun_at, ended_at])

    def test_a_request_that_ran_and_whose_connection_ends(self):
        self.assertTrue(self.judge())
        self.assertTrue(self.judge(route=RESUMABLE))
        self.assertTrue(self.judge(sent_at=100.95))
        self.assertTrue(self.judge(term_at=99.0))
        self.assertEqual({row[0] for row in self.promises.broken}, {"lost"})

    def test_a_request_that_did_not_run(self):
        self.assertTrue(self.judge(runs=()))
        self.assertFalse(self.judge(runs=(), sent_at=100.9))
        self.assertFalse(self.judge(runs=(), sent_at=None))
        self.assertFalse(self.judge(runs=(), sent_at=100.7, lag_s=0.2))
        self.assertTrue(self.judge(runs=(), sent_at=100.5, lag_s=0.2))

    def test_faults_elsewhere_excuse_nothing(self):
        for name in ("gateway1", "store0", "j"):
            self.strike(name, 90.0, None)
        self.assertTrue(self.judge())

    def test_faults_excuse_until_three_seconds_after(self):
        for name in ("gateway0", GATEWAYS, "i"):
            self.strikes.spans = []
            self.strike(name, 90.0, 96.9)
            self.assertTrue(self.judge())
            self.strike(name, 101.1, None)
            self.assertTrue(self.judge())
            self.strike(name, 90.0, 97.1)
            self.assertFalse(self.judge())
            self.strikes.spans = []
            self.strike(name, 100.9, None)
            self.assertFalse(self.judge())

    def test_a_deadline_excuses(self):
        self.assertTrue(self.judge(ended_at=102.9))
        self.assertFalse(self.judge(ended_at=103.0))

    def test_only_a_stream_that_still_runs_in_the_last_part_may_be_cut_by_a_stop(self):
        # The last part of the grace period is from 101 to 102.
        stop = {"term_at": 98.0, "grace_s": 3.6}
        self.assertTrue(self.judge(**stop))
        self.assertFalse(self.judge(route=RESUMABLE, **stop))
        self.assertFalse(self.judge(route=RESUMABLE, finished={"i": 101.0}, **stop))
        self.assertTrue(self.judge(route=RESUMABLE, finished={"i": 100.9}, **stop))
        self.assertTrue(self.judge(route=RESUMABLE, runs=(), **stop))
        self.assertTrue(self.judge(route=RESUMABLE, term_at=98.0, grace_s=3.7))
        self.assertTrue(self.judge(route=RESUMABLE, term_at=96.9, grace_s=4.0))

    def test_a_plan_names_what_its_faults_strike(self):
        cluster = Cluster("", "", self.promises)
        cluster.gateways = [Named("gateway0"), Named("gateway1")]
        cluster.stores = [Named("store0")]
        world = Named("world")
        world.backend = lambda target: Named(f"i-{target}")
        player = Player(cluster, None, world)

        def struck(kind, target=1, strength=0.5):
            return player._struck(Fault(0.0, kind, target, 1.0, 0, strength))

        self.assertEqual(struck("gateway_pause"), ["gateway1"])
        self.assertEqual(struck("all_killed"), [GATEWAYS])
        self.assertEqual(struck("backend"), ["i-1"])
        self.assertEqual(struck("key_value_link", 1, 0.3), ["gateway1"])
        self.assertEqual(struck("key_value_link", 2, 0.3), [])
        self.assertEqual(struck("key_value_link", 2, 0.5), ["gateway0", "gateway1"])
        for kind in ("gateway_stop", "store_kill", "store_pause", "key_value", "edit", "drain"):
            self.assertEqual(struck(kind), [])

    def test_features_without_faults_leave_the_plan_as_it_is(self):
        with_faults = draw_feature_faults(7, 30, ["zones", "born"])
        self.assertEqual(draw_feature_faults(7, 30, FEATURES), with_faults)


class Named:
    """Stands for a node, a back end or the world."""

    def __init__(self, name):
        self.name = self.instance = name


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
