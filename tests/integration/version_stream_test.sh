# Sourced by scripts/check.sh: streams over back ends of two software versions.
version_stream() { # OPTIONS SCENARIO
    python3 tests/soak/version_stream_test.py --build "$BUILD" --folder "$CLUSTER_DIR/version-stream" \
        "$@"
}

expect "a stream goes on only at the version that began it" version_stream quiet
expect "a stream goes on only at the version that began it though gateways are killed" \
    version_stream gateways_killed
expect "a stream goes on only at the version that began it though engines start again as another" \
    version_stream --restart quiet
expect "a stream goes on only at the version that began it while storage nodes are away" \
    version_stream stores_away
version_stream_supervised() {
    version_stream --supervised --seed 5 quiet && version_stream --supervised --seed 3 gateways_killed
}
expect "a stream goes on only at the version that began it though a port outlives its engine" \
    version_stream_supervised
expect "streams that are taken up go on though connections to their engines are reset" \
    version_stream reset_connections
expect "the same where engines do not tell when they started" \
    version_stream --no-start-times --seed 2 reset_connections
