# A planned stop cuts off nothing: streams run through a node while it is told to stop.
# Sourced by check.sh.

stop_url=http://127.0.0.1:${NODE_HTTP[b1]}
stop_header="Authorization: Bearer $TOKEN"
for i in $(seq 10); do
    curl -s -o /dev/null -H "$stop_header" "$stop_url/v1/programs" \
        -d "{\"id\":\"stop-$i\",\"template\":\"payment-plan\"}"
    curl -sN -H "$stop_header" "$stop_url/v1/programs/stop-$i/calls/1" -o "$CLUSTER_DIR/stop-$i.out" \
        -d '{"kind":"model","stream":true,"max_tokens":300,"messages":[{"role":"user","content":"x"}]}' &
    stop_curls[i]=$!
done
sleep 0.3
expect "drain is accepted" rudderway drain b1
wait "${stop_curls[@]}"
for i in $(seq 10); do
    expect "stream $i ran to its end" grep -q '^event: done' "$CLUSTER_DIR/stop-$i.out"
done
wait "${NODE_PID[b1]}"
expect "the node exits with 0" test $? -eq 0
expect "and cut off nothing" grep -q 'E102 NODE_STOPPED cut_off=0' "$CLUSTER_DIR/b1.log"
unset "NODE_HTTP[b1]" "NODE_PID[b1]"
for i in $(seq 10); do
    expect "program $i goes on elsewhere" curl -sf -H "$stop_header" -o /dev/null \
        "http://127.0.0.1:${NODE_HTTP[a1]}/v1/programs/stop-$i/calls/2" \
        -d '{"kind":"tool","tool":"ledger","repeatable":true}'
done

# Calls that outlast the longest stop get an answer that says so; their connections are not cut.
cluster_node short b node.stop_seconds=1
cluster_wait_ready 6
short_curls=()
short_url=http://127.0.0.1:${NODE_HTTP[short]}
for kind in true false; do
    curl -s -o /dev/null -H "$stop_header" "$short_url/v1/programs" \
        -d "{\"id\":\"short-$kind\",\"template\":\"payment-plan\"}"
    curl -sN -H "$stop_header" "$short_url/v1/programs/short-$kind/calls/1" \
        -o "$CLUSTER_DIR/short-$kind.out" -w '%{http_code}' \
        -d "{\"kind\":\"model\",\"stream\":$kind,\"max_tokens\":2000,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}" \
        > "$CLUSTER_DIR/short-$kind.status" &
    short_curls[${#short_curls[@]}]=$!
done
sleep 0.3
kill -TERM "${NODE_PID[short]}"
for pid in "${short_curls[@]}"; do
    wait "$pid"
    expect "the answer of a call that outlasts the stop is whole" test $? -eq 0
done
expect "a stream that outlasts the stop ends with an error" \
    grep -q '^event: error' "$CLUSTER_DIR/short-true.out"
expect "a call that outlasts the stop is answered with 503" \
    grep -qx 503 "$CLUSTER_DIR/short-false.status"
expect "and its outcome is unknown" \
    grep -Eq '"outcome": ?"unknown"' "$CLUSTER_DIR/short-false.out"
wait "${NODE_PID[short]}"
expect "the node that gave up calls exits with 1" test $? -eq 1
expect "and counts them" grep -Eq 'E102 NODE_STOPPED cut_off=[2-9]' "$CLUSTER_DIR/short.log"
unset "NODE_HTTP[short]" "NODE_PEER[short]" "NODE_PID[short]"
