#!/usr/bin/env bash
# Plays the days of tests/days, one trouble each or two that meet, on a deployment of the users:
#
#   scripts/play_days.sh PLAYER SITE [JOBS]
#
# PLAYER is the users' program that plays days, SITE a deployment. One line a day: score, worth, served,
# refused, failed, and the rules that were broken. Exit status 0: none was. A day of a kind that the
# deployment does not know says so and counts as not played.
cd "$(dirname "$0")/.." || exit 1
player=$(realpath "$1")
site=$(realpath "$2")
jobs=${3:-3}

play() { # FILE
    local name output line
    name=$(basename "$1" .toml)
    output=$("$player" run "$site" "$1" --why "days of our own: $name" 2>&1)
    line=$(grep -E "^$name +[0-9]+/" <<< "$output" | awk '{print $3, $4, $5, $6, $7}')
    if [ -z "$line" ]; then
        echo "$name not played: $(tail -1 <<< "$output")"
        return
    fi
    echo "$name $line $(sed -n 's/^rules broken: /BROKEN /p' <<< "$output")"
}
export -f play
export player site

printf '%s\n' tests/days/*.toml | xargs -P "$jobs" -I{} bash -c 'play {}' | sort | tee days.txt |
    column -t -l 7
played=$(grep -vc 'not played' days.txt)
broken=$(grep -c BROKEN days.txt)
echo "$played days played, $broken with a rule broken"
rm -f days.txt
[ "$broken" -eq 0 ]
