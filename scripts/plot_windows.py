#!/usr/bin/env python3
"""Draws the worth of a day's windows of two seconds for two versions, from the bench's reports.

    scripts/plot_windows.py OUTPUT.png DAY BEFORE.json AFTER.json [DAY BEFORE.json AFTER.json ...]

The reports are what `fleetbench run --report FILE` writes. Needs Debian's gnuplot-nox, which nothing
else here needs.
"""

import json
import pathlib
import subprocess
import sys

WIDTH = 900
HEIGHT_EACH = 260


def read_windows(path):
    """Rows of (second, worth) of the windows that programs began in."""
    report = json.loads(pathlib.Path(path).read_text())
    return [(float(window["name"]), window["worth"]) for window in report["windows"] if window["n"] > 0]


def data_block(name, windows):
    rows = "\n".join(f"{second} {worth}" for second, worth in windows)
    return f"${name} << EOD\n{rows}\nEOD\n"


def draw(output, days):
    script = f"set terminal png size {WIDTH},{HEIGHT_EACH * len(days)}\nset output '{output}'\n"
    script += f"set multiplot layout {len(days)},1\nset yrange [0:1.05]\nset key bottom right\n"
    script += "set ylabel 'worth'\nset xlabel 'program began in second'\nset grid y\n"
    for number, (day, before, after) in enumerate(days):
        script += data_block(f"before{number}", read_windows(before))
        script += data_block(f"after{number}", read_windows(after))
        script += f"set title '{day}'\nplot $before{number} with steps lw 2 title 'before', "
        script += f"$after{number} with steps lw 2 title 'after'\n"
    subprocess.run(["gnuplot"], input=script, text=True, check=True)


def main():
    if len(sys.argv) < 5 or (len(sys.argv) - 2) % 3 != 0:
        sys.exit(__doc__)
    rest = sys.argv[2:]
    draw(sys.argv[1], [tuple(rest[i : i + 3]) for i in range(0, len(rest), 3)])


if __name__ == "__main__":
    main()
