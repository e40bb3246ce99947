#!/usr/bin/env bash
# Three zones with two nodes each and the stand-ins, on loopback: replays a trace of each
# deployment, kills a node without notice on the way, applies an edit, and judges the outcomes.
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
trap cluster_end EXIT
SPEED_UP=6

cluster_begin demo-run
cluster_standins $SPEED_UP
for zone in a b c; do
    cluster_node "${zone}1" "$zone"
    cluster_node "${zone}2" "$zone"
done
cluster_apply traces/configuration.json || exit 1
cluster_wait_ready 6 || exit 1
rudderway members

# replay DEPLOYMENT: plays its trace in the background.
replay() {
    rudderway replay "traces/$1.jsonl" --tokens traces/tokens.json --speed-up $SPEED_UP \
        --report "$CLUSTER_DIR/$1.json" > "$CLUSTER_DIR/$1.out" 2> "$CLUSTER_DIR/$1.err" &
}

# number REPORT FIELD: a whole number out of a replay's report.
number() {
    sed -n "s/.*\"$2\": \([0-9]*\).*/\1/p" "$CLUSTER_DIR/$1.json"
}

echo "--- Merrimack: replay, and node b1 is killed without notice"
replay merrimack
first=$!
sleep 4
kill_node b1
wait $first
first_status=$?
cat "$CLUSTER_DIR/merrimack.out"

echo "--- Comptoir: replay, and an edit is applied"
replay comptoir
second=$!
sleep 3
rudderway apply traces/edit.json --wait | tee "$CLUSTER_DIR/edit.out"
edit_status=${PIPESTATUS[0]}
in_force=$(sed -n 's/in force on [0-9]* nodes in \([0-9]*\) ms/\1/p' "$CLUSTER_DIR/edit.out")
wait $second
second_status=$?
cat "$CLUSTER_DIR/comptoir.out"

echo "--- The cluster afterwards"
rudderway status
programs=$(($(number merrimack programs) + $(number comptoir programs)))
completed=$(($(number merrimack completed) + $(number comptoir completed)))
violations=$(($(number merrimack violations) + $(number comptoir violations)))
cat "$CLUSTER_DIR"/*.err | head -20
echo "demo: $programs programs, $completed completed, $violations violations," \
    "config in force in ${in_force:-?} ms"
[ $first_status -eq 0 ] && [ $second_status -eq 0 ] && [ "$edit_status" -eq 0 ] &&
    [ "$programs" -eq "$completed" ] && [ "$violations" -eq 0 ]
