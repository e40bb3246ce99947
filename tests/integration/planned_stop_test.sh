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
