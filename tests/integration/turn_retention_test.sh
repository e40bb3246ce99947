# Sourced by scripts/check.sh: conversations that go on late.
turn_retention() { # SCENARIO
    python3 tests/soak/turn_retention_test.py --build "$BUILD" \
        --folder "$CLUSTER_DIR/turn-retention" --programs 0 "$1"
}

# Guards against a turn that was acknowledged while its ancestors expired: no turn could continue it.
expect "a turn that began in its parent's retention time can be continued though it ran past it" \
    turn_retention slow_successor
expect "so can one during which all storage nodes restarted" turn_retention restarted
# Guards against a turn that was served from a gateway's cache after storage nodes had forgotten its chain.
expect "a turn whose chain is forgotten is refused also where the chain is cached" \
    turn_retention forgotten
expect "storage nodes keep a chain for longer if a call may take longer than when it was stored" \
    turn_retention raised_limit
# Guards against messages between nodes that exceed a frame and are asked for again forever.
expect "a chain that exceeds one message is read in pieces, a turn that does is refused" \
    turn_retention large_turns
