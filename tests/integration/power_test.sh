# Sourced by scripts/check.sh: gateways and storage nodes as real processes on loopback. While a
# caller has conversations, all of them are killed at once and one storage node's folder is
# removed; afterwards every turn that was answered whole can be gone on from, with the right
# prompt, and no program gets more than its budget. POWER_ROUNDS times.
POWER_ROUNDS=${POWER_ROUNDS:-20}
. scripts/ports.sh
hold_ports
POWER_BASE=$HELD_PORTS
declare -A POWER_PID

power_settings() { # NAME KIND NUMBER FIRST_START
    local file=$CLUSTER_DIR/$1.ini
    cat > "$file" << SETTINGS
[node]
name=$1
zone=z$(($3 % 3))
log_level=notice
[key_value]
address=127.0.0.1:${POWER_KEY_VALUE:-$POWER_BASE}
[peer]
listen=127.0.0.1:$((POWER_BASE + 10 + $3))
[gateway]
calls=127.0.0.1:$((POWER_BASE + 30 + $3))
readiness=127.0.0.1:$((POWER_BASE + 50 + $3))
[store]
folder=${POWER_DATA:-$CLUSTER_DIR}/$1.data
first_start=$4
disk_megabytes=${POWER_DISK_MEGABYTES:-300}
SETTINGS
    [ "$2" = store ] && mkdir -p "${POWER_DATA:-$CLUSTER_DIR}/$1.data"
    return 0
}

# POWER_SLOW_SYNC_MS: how long syncs take in place of the disk's time, if POWER_SLOW_SYNC_MIN_BYTES or
# more are written: unless that is set, those of turns like power_no_room's (100 kB) and no others.
power_start() { # FIRST_START
    local i slow=()
    [ -z "${POWER_SLOW_SYNC_MS:-}" ] ||
        slow=(env "LD_PRELOAD=$BUILD/tests/libslow_sync.so" "SLOW_SYNC_MS=$POWER_SLOW_SYNC_MS"
            "SLOW_SYNC_MIN_BYTES=${POWER_SLOW_SYNC_MIN_BYTES:-50000}"
            "ASAN_OPTIONS=${ASAN_OPTIONS:-}:verify_asan_link_order=0")
    for i in 0 1 2; do
        power_settings "store$i" store $i "$1"
        ${slow[@]+"${slow[@]}"} "$BUILD/rudderway-store" --settings "$CLUSTER_DIR/store$i.ini" \
            >> "$CLUSTER_DIR/store$i.log" 2>&1 &
        POWER_PID[store$i]=$!
    done
    for i in 3 4; do
        power_settings "gateway$i" gateway $i false
        "$BUILD/rudderway-gateway" --settings "$CLUSTER_DIR/gateway$i.ini" \
            >> "$CLUSTER_DIR/gateway$i.log" 2>&1 &
        POWER_PID[gateway$i]=$!
    done
}

power_kill() {
    [ "${#POWER_PID[@]}" -gt 0 ] || return 0
    kill -9 "${POWER_PID[@]}" 2> /dev/null
    wait "${POWER_PID[@]}" 2> /dev/null
    POWER_PID=()
    return 0
}

# power_wait: until both gateways say that they are ready (20 s at most).
power_wait() {
    local port=$((POWER_BASE + 53))
    for _ in $(seq 400); do
        if ! curl -s -o /dev/null -f "http://127.0.0.1:$port/-/readiness"; then
            sleep 0.05
        elif [ "$port" -eq $((POWER_BASE + 54)) ]; then
            return 0
        else
            port=$((POWER_BASE + 54))
        fi
    done
    return 1
}

# power_complete NAME COUNT: until the storage node has said COUNT times that it holds everything.
power_complete() {
    for _ in $(seq 400); do
        [ "$(grep -c E804 "$CLUSTER_DIR/$1.log")" -ge "$2" ] && return 0
        sleep 0.05
    done
    echo "$1 did not catch up"
    return 1
}

power_rounds() {
    local ports="$((POWER_BASE + 33)) $((POWER_BASE + 34))" round caller wiped complete
    local file=$CLUSTER_DIR/acknowledged
    : > "$file"
    power_start true
    for round in $(seq "$POWER_ROUNDS"); do
        power_wait || return 1
        "$BUILD/tests/platform_caller" write "$file" 1.2 $ports &
        caller=$!
        sleep "0.$((RANDOM % 7 + 3))"
        power_kill
        wait "$caller" || return 1
        # At most one disk may be lost at a time: the next one only after this one's node has
        # caught up.
        wiped=store$((round % 3))
        complete=$(grep -c E804 "$CLUSTER_DIR/$wiped.log")
        rm -rf "$CLUSTER_DIR/$wiped.data"
        power_start false
        "$BUILD/tests/platform_caller" verify "$file" 120 $ports || return 1
        power_complete "$wiped" $((complete + 1)) || return 1
    done
    power_kill
    [ "$(grep -c '^turn' "$file")" -ge "$POWER_ROUNDS" ]
}

# All are killed and start again while nothing answers at the key-value service's address: the
# gateways serve from what the storage nodes kept.
power_without_key_value() {
    local ports="$((POWER_BASE + 33)) $((POWER_BASE + 34))"
    local file=$CLUSTER_DIR/acknowledged_without
    : > "$file"
    power_start false
    power_wait || return 1
    "$BUILD/tests/platform_caller" write "$file" 1.2 $ports || return 1
    # The storage nodes write down at most once a second what gateways told them.
    sleep 3
    power_kill
    POWER_KEY_VALUE=$((POWER_BASE + 9)) power_start false
    power_wait || return 1
    "$BUILD/tests/platform_caller" verify "$file" 120 $ports || return 1
    power_kill
    grep -q E835 "$CLUSTER_DIR/gateway3.log" && [ "$(grep -c '^turn' "$file")" -ge 1 ]
}

# Guards against a turn that is run and then lost, for want of room or because disks are slow.
power_no_room() {
    rm -rf "$CLUSTER_DIR"/store?.data
    POWER_DISK_MEGABYTES=1 power_start true
    power_wait || return 1
    "$BUILD/tests/platform_caller" fill "$CLUSTER_DIR/filled" 60 $((POWER_BASE + 33)) $((POWER_BASE + 34))
}

# Guards against turns that are granted the same room at the same time, run, and then lost.
# The callers go on until 3 s after the first was told that there is no room, 60 s at most.
power_no_room_at_once() {
    local ports="$((POWER_BASE + 33)) $((POWER_BASE + 34))" callers=() i not_kept
    rm -rf "$CLUSTER_DIR"/store?.data "$CLUSTER_DIR"/filled?.end "$CLUSTER_DIR"/fill?.out
    not_kept=$(grep -hs E841 "$CLUSTER_DIR"/gateway?.log | wc -l)
    POWER_DISK_MEGABYTES=1 power_start true
    power_wait || return 1
    for i in 1 2 3 4 5 6; do
        "$BUILD/tests/platform_caller" fill "$CLUSTER_DIR/filled$i" 60 $ports > "$CLUSTER_DIR/fill$i.out" 2>&1 &
        callers+=($!)
    done
    for _ in $(seq 600); do
        grep -qhs "refused after\|run and not kept" "$CLUSTER_DIR"/fill?.out && break
        sleep 0.1
    done
    sleep 3
    touch "$CLUSTER_DIR"/filled{1,2,3,4,5,6}.end
    # One that begins when all room is taken has nothing to tell.
    for i in "${callers[@]}"; do wait "$i"; done
    cat "$CLUSTER_DIR"/fill?.out
    ! grep -q "run and not kept" "$CLUSTER_DIR"/fill?.out &&
        grep -q "refused after" "$CLUSTER_DIR"/fill?.out &&
        [ "$(grep -hs E841 "$CLUSTER_DIR"/gateway?.log | wc -l)" -eq "$not_kept" ]
}

# Guards against turns that are run and then lost because their sync outlasts the time for a verdict
# (1.5 s), though not their callers' (4 s). Passes only if writes were delayed (E862). The folders are
# on a file system in memory, if there is one: a disk that stands still would add to the delays.
power_slow_turns() {
    local slow_writes status
    slow_writes=$(grep -hs E862 "$CLUSTER_DIR"/store?.log | wc -l)
    POWER_DATA=$(mktemp -d -p /dev/shm 2> /dev/null || mktemp -d) || return 1
    POWER_SLOW_SYNC_MS=2000 power_no_room
    status=$?
    power_kill
    rm -rf "$POWER_DATA"
    unset POWER_DATA
    [ "$status" -eq 0 ] && [ "$(grep -hs E862 "$CLUSTER_DIR"/store?.log | wc -l)" -gt "$slow_writes" ]
}

# Guards against turns that are run and then lost because their sync outlasts their callers (4 s). Each
# is confirmed from the key-value service (E864), and none is given up (E841).
power_stalled_turns() {
    local status not_kept spilled
    not_kept=$(grep -hs E841 "$CLUSTER_DIR"/gateway?.log | wc -l)
    spilled=$(grep -hs E864 "$CLUSTER_DIR"/store?.log | wc -l)
    POWER_DATA=$(mktemp -d -p /dev/shm 2> /dev/null || mktemp -d) || return 1
    POWER_SLOW_SYNC_MS=8000 power_no_room
    status=$?
    power_kill
    rm -rf "$POWER_DATA"
    unset POWER_DATA
    [ "$status" -eq 0 ] && [ "$(grep -hs E864 "$CLUSTER_DIR"/store?.log | wc -l)" -gt "$spilled" ] &&
        [ "$(grep -hs E841 "$CLUSTER_DIR"/gateway?.log | wc -l)" -eq "$not_kept" ]
}

# Guards against calls that are run before their reserve is on disk, and then fail for it: 503 says
# that a call has not run.
power_stalled_reserve() {
    local status
    POWER_DATA=$(mktemp -d -p /dev/shm 2> /dev/null || mktemp -d) || return 1
    rm -rf "$CLUSTER_DIR"/store?.data
    POWER_SLOW_SYNC_MS=8000 POWER_SLOW_SYNC_MIN_BYTES=1 power_start true
    power_wait && status=$(curl -s -o /dev/null -w '%{http_code}' --max-time 6 -H "Host: h" \
        -H "Attempt-Id: a1" -H "Program-Id: p1" -H "Session-Id: s" -H "Token-Budget: 400" \
        -H "Token-Counts: 10,40" -H "Deadline-Milliseconds: 4000" -d "input" \
        "http://127.0.0.1:$((POWER_BASE + 33))/turns/x")
    power_kill
    rm -rf "$POWER_DATA"
    unset POWER_DATA
    echo "status $status"
    [ "$status" = 503 ]
}

"$BUILD/tests/platform_standin" "$POWER_BASE" "$((POWER_BASE + 1))" "$((POWER_BASE + 2))" &
POWER_STANDIN=$!
expect "turns whose sync takes 2 s are all kept" power_slow_turns
expect "turns whose sync outlasts their callers are all kept" power_stalled_turns
power_kill
expect "a call whose reserve does not get to the disk is refused before it is run" power_stalled_reserve
power_kill
expect "all killed and one folder removed, $POWER_ROUNDS times" power_rounds
power_kill
expect "all killed, and started without the key-value service" power_without_key_value
power_kill
expect "a turn that can not be kept is refused before it is run" power_no_room
power_kill
expect "turns that are granted at the same time are all kept" power_no_room_at_once
power_kill
kill "$POWER_STANDIN" 2> /dev/null
wait "$POWER_STANDIN" 2> /dev/null
