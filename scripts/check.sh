#!/usr/bin/env bash
# Runs every test: the unit tests, then the tests against a cluster of real processes on
# loopback. The last line counts them.
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
trap cluster_end EXIT
passed=0
failed=0

# run_test NAME COMMAND...: runs a GoogleTest program and adds its counts.
run_test() {
    local name=$1 output status
    shift
    output=$("$@" --gtest_brief=1 2>&1)
    status=$?
    local good ran bad
    good=$(sed -n 's/^\[  PASSED  \] \([0-9]*\) test.*/\1/p' <<< "$output")
    ran=$(sed -n 's/^\[==========\] \([0-9]*\) test.* ran\..*/\1/p' <<< "$output")
    bad=$((${ran:-0} - ${good:-0}))
    [ "$status" -ne 0 ] && [ "$bad" -eq 0 ] && bad=1
    passed=$((passed + ${good:-0}))
    failed=$((failed + bad))
    echo "$name: ${good:-0} passed, $bad failed"
    [ "$bad" -eq 0 ] || echo "$output" | tail -60
}

for test in "$BUILD"/tests/*_test; do
    run_test "$(basename "$test")" "$test"
done

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
