# Functions that start a cluster of nodes and stand-ins on loopback, and stop it again.
# Sourced by the demo, the benchmarks and the tests; the kernel chooses every port.
#
#   cluster_begin DIRECTORY            a fresh directory for logs and settings
#   cluster_standins [SPEED_UP]        platform, engines and services
#   cluster_node NAME ZONE [KEY=VALUE] starts (or restarts) a node
#   cluster_wait_ready COUNT           waits until COUNT nodes are ready
#   cluster_end                        stops everything that was started

set -u
BUILD=${BUILD:-build}
ADMIN_TOKEN=demo-admin-token
ADMIN_SHA256=$(printf %s "$ADMIN_TOKEN" | sha256sum | cut -d' ' -f1)
CLUSTER_KEY=$(printf %s demo-cluster-key | sha256sum | cut -d' ' -f1)
CLUSTER_PIDS=()
declare -A NODE_PID NODE_HTTP NODE_PEER NODE_ZONE STANDIN_PORT STANDIN_PID
export RUDDERWAY_TOKEN=$ADMIN_TOKEN

cluster_begin() {
    CLUSTER_DIR=$1
    rm -rf "$CLUSTER_DIR"
    mkdir -p "$CLUSTER_DIR"
}

# wait_file FILE: until FILE is there (10 s at most).
wait_file() {
    for _ in $(seq 500); do
        [ -s "$1" ] && return 0
        sleep 0.02
    done
    echo "no $1 after 10 s" >&2
    return 1
}

# standin ROLE NAME [FLAG...]: starts a stand-in.
standin() {
    local role=$1 name=$2
    shift 2
    "$BUILD/rudderway-standin" --role "$role" --name "$name" \
        --port-file "$CLUSTER_DIR/$name.port" --record "$CLUSTER_DIR/$name.record" "$@" \
        2> "$CLUSTER_DIR/$name.log" &
    STANDIN_PID[$name]=$!
    CLUSTER_PIDS+=($!)
    wait_file "$CLUSTER_DIR/$name.port"
    STANDIN_PORT[$name]=$(cat "$CLUSTER_DIR/$name.port")
}

# machine_entry NAME KIND OFFERS ZONE: one line of the machine list.
machine_entry() {
    printf '{"name":"%s","kind":"%s","offers":"%s","zone":"%s","address":"127.0.0.1","port":%s}' \
        "$1" "$2" "$3" "$4" "${STANDIN_PORT[$1]}"
}

cluster_standins() {
    local speed_up=${1:-1} list="" zone service
    for zone in a b c; do
        standin engine "engine-$zone" --zone "$zone" --offers base --speed-up "$speed_up" --lag 200
        list+="$(machine_entry "engine-$zone" engine base "$zone"),"
    done
    for service in ledger billing catalogue preorder orders; do
        standin service "$service" --zone a --offers "$service" --speed-up "$speed_up"
        list+="$(machine_entry "$service" service "$service" a),"
    done
    echo "{\"machines\":[${list%,}]}" > "$CLUSTER_DIR/machines.json"
    standin machines machines --machines "$CLUSTER_DIR/machines.json"
    standin key-value key-value
    standin weights weights
}

cluster_node() {
    local name=$1 zone=$2 seeds="" other
    shift 2
    for other in "${!NODE_PEER[@]}"; do
        seeds+="127.0.0.1:${NODE_PEER[$other]};"
    done
    cat > "$CLUSTER_DIR/$name.ini" <<SETTINGS
[node]
name=$name
zone=$zone
port_file=$CLUSTER_DIR/$name.port
[http]
listen=127.0.0.1:0
[peer]
listen=127.0.0.1:0
seeds=$seeds
cluster_key=$CLUSTER_KEY
[admin]
token_sha256=$ADMIN_SHA256
[platform]
key_value=127.0.0.1:${STANDIN_PORT[key-value]}
machine_list=127.0.0.1:${STANDIN_PORT[machines]}
weight_store=127.0.0.1:${STANDIN_PORT[weights]}
[cluster]
partitions=${PARTITIONS:-16}
voters=${VOTERS:-5}
bootstrap_members=${BOOTSTRAP_MEMBERS:-6}
SETTINGS
    local flags=()
    for other in "$@"; do
        flags+=(--set "$other")
    done
    rm -f "$CLUSTER_DIR/$name.port"
    "$BUILD/rudderwayd" --settings "$CLUSTER_DIR/$name.ini" ${flags[@]+"${flags[@]}"} \
        >> "$CLUSTER_DIR/$name.log" 2>&1 &
    NODE_PID[$name]=$!
    CLUSTER_PIDS+=($!)
    NODE_ZONE[$name]=$zone
    wait_file "$CLUSTER_DIR/$name.port"
    read -r "NODE_HTTP[$name]" "NODE_PEER[$name]" < "$CLUSTER_DIR/$name.port"
}

# rudderway COMMAND...: the command line against all running nodes.
rudderway() {
    local nodes=() name
    for name in $(printf '%s\n' "${!NODE_HTTP[@]}" | sort); do
        nodes+=(--node "127.0.0.1:${NODE_HTTP[$name]}")
    done
    "$BUILD/rudderway" "${nodes[@]}" "$@"
}

# is_ready NAME: true if the node answers its readiness check.
is_ready() {
    curl -sf -o /dev/null "http://127.0.0.1:${NODE_HTTP[$1]}/readyz"
}

cluster_wait_ready() {
    local count name
    for _ in $(seq 300); do
        count=0
        for name in "${!NODE_HTTP[@]}"; do
            is_ready "$name" && count=$((count + 1))
        done
        [ "$count" -ge "$1" ] && return 0
        sleep 0.1
    done
    echo "only $count of $1 nodes are ready after 30 s" >&2
    return 1
}

# cluster_apply FILE: writes a configuration as soon as a node can take it.
cluster_apply() {
    for _ in $(seq 100); do
        rudderway apply "$1" > "$CLUSTER_DIR/apply.out" 2>&1 && return 0
        sleep 0.1
    done
    cat "$CLUSTER_DIR/apply.out" >&2
    return 1
}

kill_node() {
    kill -KILL "${NODE_PID[$1]}"
    wait "${NODE_PID[$1]}" 2> /dev/null
    unset "NODE_HTTP[$1]" "NODE_PID[$1]"
}

cluster_end() {
    local pid
    for pid in ${CLUSTER_PIDS[@]+"${CLUSTER_PIDS[@]}"}; do
        kill -KILL "$pid" 2> /dev/null
    done
    wait 2> /dev/null
    CLUSTER_PIDS=()
}
