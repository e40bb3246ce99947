# Sourced by scripts/check.sh: callers that end their side of a connection under calls.
ended_input() { # OPTIONS SCENARIO
    python3 tests/soak/ended_input_test.py --build "$BUILD" \
        --folder "$CLUSTER_DIR/ended-input" "$@"
}

expect "a caller that ends its side after its request gets its answer" ended_input read_on
expect "a caller of HTTP/1.0 that ends its side after its request gets its answer" \
    ended_input http_1_0
expect "requests sent ahead of the end of their caller's side are answered" ended_input sent_ahead
expect "a planned stop waits for callers that have ended their side" ended_input stopped
expect "a call ends soon after its caller has closed the connection" ended_input gone
expect "a stream ends soon after its caller has closed the connection though no event comes" \
    ended_input gone_midway
expect "equal requests of many callers are answered though they take long" \
    ended_input equal_requests
