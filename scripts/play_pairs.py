#!/usr/bin/env python3
"""Plays two versions of the code on the same days and seeds, and prints how the worth differs.

    scripts/play_pairs.py --bench PATH --site FILE --before DIR --after DIR --why TEXT
                          [--days NAME,...] [--seeds N,...] [--cpu] [--jobs N]

DIR is a checkout of this repository. Each day is played with each seed by both versions; the
difference is taken pair by pair, and its 95% interval is Student's. Journal entries are written by
the bench into each checkout; those of other checkouts are copied into this one's journal, unchanged.
With --keep FILE the figures are stored, and with --known FILE those of the version before are
taken from there instead of being played again.
"""

import argparse
import concurrent.futures
import json
import math
import pathlib
import shutil
import subprocess
import sys
import tempfile

TROUBLE_DAYS = "trouble-1,scale-1,trouble-2,scale-2,trouble-3"
HERE = pathlib.Path(__file__).resolve().parent.parent
# Two-sided 95% points of Student's distribution by degrees of freedom.
STUDENT = [12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13]
STUDENT_MANY = 2.0
OWN_SEED = "own"


def play(arguments, folder, day, seed):
    """Plays one day; returns its worth, and the rules that it broke with how often each."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [arguments.bench, "run", arguments.site, day, "--why", arguments.why]
        command += ["--report", report.name]
        if seed != OWN_SEED:
            command += ["--seed", seed]
        if not arguments.cpu:
            command.append("--no-cpu")
        result = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)
        try:
            figures = json.load(report)
        except json.JSONDecodeError:
            sys.stderr.write(result.stdout[-2000:] + result.stderr[-2000:])
            return None
    parts = {name: value for name, weight, value in figures["parts"]}
    return {"worth": figures["G"], "broken": figures["breaks"], "fault": figures["fault"], "parts": parts}


def day_list(arguments):
    """Names of days, or paths of files; a path holds in every checkout."""
    days = arguments.days.split(",")
    return [str(pathlib.Path(day).resolve()) if day.endswith(".toml") else day for day in days]


def play_all(arguments, folder):
    cases = [(day, seed) for day in day_list(arguments) for seed in arguments.seeds.split(",")]
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        results = list(pool.map(lambda case: play(arguments, folder, *case), cases))
    return {f"{day} {seed}": result for (day, seed), result in zip(cases, results)}


def interval(values):
    """Mean and half of the width of its 95% interval."""
    mean = sum(values) / len(values)
    if len(values) < 2:
        return mean, float("nan")
    variance = sum((value - mean) ** 2 for value in values) / (len(values) - 1)
    freedom = len(values) - 1
    factor = STUDENT[freedom - 1] if freedom <= len(STUDENT) else STUDENT_MANY
    return mean, factor * math.sqrt(variance / len(values))


def print_difference(label, before, after):
    differences = [b["worth"] - a["worth"] for a, b in zip(before, after)]
    mean, half = interval(differences)
    old = sum(a["worth"] for a in before) / len(before)
    new = sum(b["worth"] for b in after) / len(after)
    print(f"{label:12} {old:6.3f} -> {new:6.3f}  {mean:+.3f} +- {half:.3f}  ({len(before)} pairs)")


def report(arguments, before, after):
    keys = [key for key in after if before.get(key) and after[key]]
    for day in day_list(arguments):
        chosen = [key for key in keys if key.split(" ")[0] == day]
        if chosen:
            print_difference(day, [before[key] for key in chosen], [after[key] for key in chosen])
    print_difference("all", [before[key] for key in keys], [after[key] for key in keys])
    for key in after:
        result = after[key]
        if result is None:
            print(f"after, {key}: not played")
        elif result["broken"] or result["fault"]:
            print(f"after, {key}: {result['broken']} {result['fault'] or ''}")


def keep_journal(folder):
    """Copies the journal's new entries and their sources into this checkout."""
    source = pathlib.Path(folder).resolve() / "journal"
    if source.parent == HERE:
        return
    for entry in [*source.glob("*.json"), *source.glob("blobs/*")]:
        target = HERE / "journal" / entry.relative_to(source)
        if not target.exists():
            shutil.copy2(entry, target)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--before")
    parser.add_argument("--after", required=True)
    parser.add_argument("--why", required=True)
    parser.add_argument("--days", default=TROUBLE_DAYS)
    parser.add_argument("--seeds", default=OWN_SEED + ",11,12,13")
    parser.add_argument("--cpu", action="store_true", help="charge processor time")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--known", help="figures of the version before, from --keep")
    parser.add_argument("--keep", help="where to store the figures of the version after")
    arguments = parser.parse_args()
    if arguments.known:
        before = json.loads(pathlib.Path(arguments.known).read_text())
    else:
        before = play_all(arguments, arguments.before)
        keep_journal(arguments.before)
    after = play_all(arguments, arguments.after)
    keep_journal(arguments.after)
    if arguments.keep:
        pathlib.Path(arguments.keep).write_text(json.dumps(after))
    report(arguments, before, after)


if __name__ == "__main__":
    main()
