# Sourced by scripts/check.sh: gateways that are stopped as planned under calls.
graceful_stop() { # OPTIONS SCENARIO
    python3 tests/soak/graceful_stop_test.py --build "$BUILD" \
        --folder "$CLUSTER_DIR/graceful-stop" "$@"
}

expect "a call taken in a planned stop is not cut off at its end" graceful_stop long_calls
expect "calls whose bodies come late are answered in a planned stop" graceful_stop late_bodies
expect "a stream that can't be repeated does not run when a planned stop would cut it off" \
    graceful_stop long_streams
expect "stops of two gateways that overlap cut off no call" graceful_stop overlapping
expect "a planned stop waits for callers that read large answers" graceful_stop large_answers
expect "a connection whose answer is being read is not idle" graceful_stop steady_reader
expect "a call that can be repeated is not given up while sound back ends work on it" \
    graceful_stop slow_back_ends
