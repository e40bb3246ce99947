# Sourced by scripts/check.sh: event streams whose back ends end them early.
cut_stream() { # SCENARIO
    python3 tests/soak/cut_stream_test.py --build "$BUILD" --folder "$CLUSTER_DIR/cut-stream" "$1"
}

expect "a stream that is closed before its first event is no answer" cut_stream nothing
expect "a stream that is closed after a comment is no answer" cut_stream comment
expect "a stream that is closed within its first event is no answer" cut_stream part_of_event
expect "a stream that goes on elsewhere and is closed there without an event is no answer" \
    cut_stream nothing_more
expect "a stream without a length ends with its connection after an event" cut_stream some_events
expect "a stream whose last chunk came is whole without an event, also as a turn" cut_stream chunked
expect "a stream whose length is 0 is whole, also as a turn" cut_stream length
