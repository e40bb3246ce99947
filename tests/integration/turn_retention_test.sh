# Sourced by scripts/check.sh: conversations that go on late.
turn_retention() { # SCENARIO
    python3 tests/soak/turn_retention_test.py --build "$BUILD" \
        --folder "$CLUSTER_DIR/turn-retention" --programs 0 "$1"
}

# Guards against a turn that was acknowledged while its ancestors expired: no turn could continue it.
expect "a turn that began in its parent's retention time can be continued though it ran past it" \
    turn_retention slow_successor
expect "so can one during which all storage nodes restarted" turn_retention restarted
