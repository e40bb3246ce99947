# Sourced by scripts/check.sh: odd values that another writer left are no reason to end or to follow
# no more. The scenarios run beside one another.
odd_entries() { # SCENARIO
    python3 tests/soak/odd_entries_test.py --build "$BUILD" --folder "$CLUSTER_DIR/odd-entries-$1" "$1"
}

odd_entries_passed() { # PID SCENARIO
    local status
    wait "$1"
    status=$?
    cat "$CLUSTER_DIR/odd-entries-$2.out"
    return $status
}

expect "the storage group changes though its key held an odd value" odd_entries group_changes

odd_pids=()
for odd_scenario in server_entries own_keys; do
    odd_entries "$odd_scenario" > "$CLUSTER_DIR/odd-entries-$odd_scenario.out" 2>&1 &
    odd_pids+=("$!:$odd_scenario")
done
for odd_pid in "${odd_pids[@]}"; do
    expect "changes are followed beside odd values: ${odd_pid#*:}" \
        odd_entries_passed "${odd_pid%%:*}" "${odd_pid#*:}"
done
