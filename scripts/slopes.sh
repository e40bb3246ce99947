#!/usr/bin/env bash
# Measures the slopes that docs/CAPACITY.md is worked out from: control traffic, processor time
# and memory of an idle node by cluster size, bytes of an edit, and memory of a program.
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
trap cluster_end EXIT
SECONDS_IDLE=${SECONDS_IDLE:-10}

# metric NODE NAME: one value of a node's metrics.
metric() {
    curl -s "http://127.0.0.1:${NODE_HTTP[$1]}/metrics" | awk -v name="rudderway_$2" '$1 == name {print $2}'
}

# sum NAME: a metric over all nodes.
sum() {
    local total=0 node
    for node in "${!NODE_HTTP[@]}"; do
        total=$((total + $(metric "$node" "$1")))
    done
    echo $total
}

# ticks: processor time of all nodes, in clock ticks.
ticks() {
    local total=0 node fields
    for node in "${!NODE_PID[@]}"; do
        read -r -a fields < "/proc/${NODE_PID[$node]}/stat"
        total=$((total + fields[13] + fields[14]))
    done
    echo $total
}

resident() {
    local total=0 node
    for node in "${!NODE_PID[@]}"; do
        total=$((total + $(awk '/VmRSS/ {print $2}' "/proc/${NODE_PID[$node]}/status")))
    done
    echo $total
}

start_nodes() {
    local i zones=(a b c)
    for i in $(seq "$1"); do
        BOOTSTRAP_MEMBERS=$1 cluster_node "n$i" "${zones[$((i % 3))]}" node.log_level=warn
    done
    cluster_apply traces/configuration.json
    cluster_wait_ready "$1"
    sleep 6
}

per_node() {
    awk -v total="$1" -v nodes="$2" -v seconds="$SECONDS_IDLE" -v digits="${3:-0}" \
        'BEGIN {printf "%.*f", digits, total / nodes / seconds}'
}

for size in 3 6 12 24; do
    NODE_HTTP=() NODE_PEER=() NODE_PID=()
    cluster_begin "$BUILD/slopes"
    cluster_standins 4
    start_nodes $size
    bytes=$(sum peer_bytes_sent_total)
    datagrams=$(sum peer_datagrams_sent_total)
    frames=$(sum peer_frames_sent_total)
    used=$(ticks)
    sleep "$SECONDS_IDLE"
    bytes=$(($(sum peer_bytes_sent_total) - bytes))
    datagrams=$(($(sum peer_datagrams_sent_total) - datagrams))
    frames=$(($(sum peer_frames_sent_total) - frames))
    used=$(($(ticks) - used))
    echo "idle, $size nodes: $(per_node $bytes $size) bytes/s, $(per_node $datagrams $size 1)" \
        "datagrams/s and $(per_node $frames $size 2) frames/s sent by a node," \
        "$(per_node $used $size 2) % of a core, $(($(resident) / size)) KiB resident"
    if [ $size -eq 12 ]; then
        bytes=$(sum peer_bytes_sent_total)
        frames=$(sum peer_frames_sent_total)
        for i in $(seq 20); do
            sed "s/\"turns\": 40/\"turns\": $i/" traces/edit.json > "$CLUSTER_DIR/edit.json"
            rudderway apply "$CLUSTER_DIR/edit.json" --wait | grep force
        done | awk '{print $7}' | sort -n | awk '{v[NR]=$1} END {print "20 edits, 12 nodes: in force everywhere after " v[int(NR/2)] " ms (median), " v[NR] " ms (most)"}'
        echo "20 edits, 12 nodes: $((($(sum peer_bytes_sent_total) - bytes) / 20 / size)) bytes and" \
            "$(((($(sum peer_frames_sent_total) - frames) * 10 / 20 / size))) tenths of a frame" \
            "sent by a node for an edit, idle traffic meanwhile included"
    fi
    if [ $size -eq 6 ]; then
        before=$(resident)
        text=$(head -c 4000 /dev/zero | tr '\0' x)
        seq 1000 | xargs -P 16 -I N sh -c \
            "curl -s -o /dev/null -H 'Authorization: Bearer token-concord' http://127.0.0.1:${NODE_HTTP[n1]}/v1/programs -d '{\"id\":\"pN\",\"template\":\"payment-plan\"}'"
        empty=$(resident)
        seq 1000 | xargs -P 16 -I N sh -c \
            "curl -s -o /dev/null -H 'Authorization: Bearer token-concord' http://127.0.0.1:${NODE_HTTP[n1]}/v1/programs/pN/calls/1 -d '{\"kind\":\"tool\",\"tool\":\"ledger\",\"arguments\":{\"text\":\"$text\"}}'"
        full=$(resident)
        echo "1000 programs in 5 copies: $(((empty - before) * 1024 / 5000)) bytes resident a copy" \
            "without calls, $(((full - empty) * 1024 / 5000)) more with one call of 4000 bytes," \
            "$(sum program_bytes | awk '{printf "%.0f", $1 / 5000}') counted by the nodes"
    fi
    cluster_end
done
