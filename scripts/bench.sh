#!/usr/bin/env bash
# What a node costs: latency that it adds to a call, and calls that one core carries. Ratios of
# one run; nothing here passes or fails.
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
trap cluster_end EXIT

cluster_begin "$BUILD/bench"
standin service slow --zone a --offers slow --latency 200
standin service fast --zone a --offers fast --latency 0
standin engine engine-a --zone a --offers base --speed-up 10 --batch 64
echo "{\"machines\":[$(machine_entry engine-a engine base a),$(machine_entry slow service slow a),$(machine_entry fast service fast a)]}" \
    > "$CLUSTER_DIR/machines.json"
standin machines machines --machines "$CLUSTER_DIR/machines.json"
standin key-value key-value
standin weights weights
token_sha256=$(printf %s bench-token | sha256sum | cut -d' ' -f1)
cat > "$CLUSTER_DIR/configuration.json" <<CONFIGURATION
{"template/bench": {"name": "bench", "model": "base", "prompt": "Bench.", "tools": ["slow", "fast"], "limits":
   {"turns": 10000, "budget_tokens": 1000000, "wall_seconds": 600, "idle_seconds": 600,
    "output_tokens": 100}},
 "tenant/bench": {"name": "bench", "token_sha256": "$token_sha256",
   "calls_in_flight": 1000, "services": ["slow", "fast"]}}
CONFIGURATION
for name in one three; do
    NODE_HTTP=() NODE_PEER=() NODE_PID=()
    if [ $name = one ]; then
        echo "--- one node, one copy of the state"
        BOOTSTRAP_MEMBERS=1 VOTERS=1 cluster_node a1 a node.log_level=warn
        count=1
    else
        kill -KILL "${STANDIN_PID[key-value]}"
        rm "$CLUSTER_DIR/key-value.port"
        standin key-value key-value
        echo "--- three nodes, three copies of the state"
        for zone in a b c; do
            BOOTSTRAP_MEMBERS=3 VOTERS=3 cluster_node "${zone}1" "$zone" node.log_level=warn
        done
        count=3
    fi
    cluster_apply "$CLUSTER_DIR/configuration.json"
    cluster_wait_ready $count
    export NODES="127.0.0.1:${NODE_HTTP[a1]}" TOKEN=bench-token
    env NODE_PID="${NODE_PID[a1]}" DIRECT_SLOW="127.0.0.1:${STANDIN_PORT[slow]}" \
        DIRECT_FAST="127.0.0.1:${STANDIN_PORT[fast]}" "$BUILD/tests/call_bench"
    for node in "${!NODE_HTTP[@]}"; do
        kill -KILL "${NODE_PID[$node]}"
    done
done
