# The command line and the examples of docs/API.md, against a running node. Sourced by check.sh.

# status_of EXPECTED COMMAND...: passes if the command exits with EXPECTED.
status_of() {
    local expected=$1 status
    shift
    "$@"
    status=$?
    [ "$status" -eq "$expected" ]
}

# prints PATTERN COMMAND...: passes if the command's output has a line that matches.
prints() {
    local pattern=$1
    shift
    "$@" 2>&1 | tee /dev/stderr | grep -q -e "$pattern"
}

expect "applying the same file changes nothing" \
    prints "nothing to change" rudderway apply traces/configuration.json
expect "diff of the same file finds nothing" status_of 0 rudderway diff traces/configuration.json
expect "diff of an edit finds it" status_of 6 rudderway diff traces/edit.json
expect "an edit is accepted and waited for" \
    prints "in force on 1 nodes" rudderway apply traces/edit.json --wait
expect "get prints an object" prints '"output_tokens": 480' rudderway get template/payment-plan
expect "rollback makes a new revision" prints "accepted as revision 3" rudderway rollback 1
expect "rolled back" prints '"output_tokens": 512' rudderway get template/payment-plan
expect "history has three edits" \
    prints '^3' rudderway history
sed 's/"turns": 40/"turns": 0/' traces/edit.json > "$CLUSTER_DIR/wrong.json"
expect "a mistake is refused" status_of 1 rudderway apply "$CLUSTER_DIR/wrong.json"
expect "and its line in the file is named" \
    prints "wrong.json:$(grep -n '"turns"' "$CLUSTER_DIR/wrong.json" | cut -d: -f1)" \
    rudderway apply "$CLUSTER_DIR/wrong.json"
expect "status" prints "is in force on every node" rudderway status
expect "members" prints "solo *a *alive" rudderway members
expect "backends" prints "engine-a *engine" rudderway backends
expect "programs" prints "good" rudderway programs
expect "program" prints '"template": "payment-plan"' rudderway program concord/good
expect "JSON output" prints '"name": "solo"' rudderway members --output json
expect "unknown command" status_of 2 rudderway frobnicate
expect "unknown node" status_of 5 "$BUILD/rudderway" --node 127.0.0.1:1 status
expect "help" prints "Exit status" "$BUILD/rudderway" --help
expect "version" prints "rudderwayd [0-9]" "$BUILD/rudderwayd" --version
expect "settings are checked" status_of 2 "$BUILD/rudderwayd" --check-settings
expect "good settings pass" \
    status_of 0 "$BUILD/rudderwayd" --check-settings --settings "$CLUSTER_DIR/solo.ini"
expect "metrics" prints "rudderway_revision 3" \
    curl -s "http://127.0.0.1:${NODE_HTTP[solo]}/metrics"
expect "health" curl -sf "http://127.0.0.1:${NODE_HTTP[solo]}/healthz"

# Every curl example of the page, in its order; none may print an error.
NODE=http://127.0.0.1:${NODE_HTTP[solo]}
ADMIN=$ADMIN_TOKEN
sed -i.original 's/"services": \[\]/"services": ["orders"]/' "$CLUSTER_DIR/wrong.json"
python_free_config="$CLUSTER_DIR/services.json"
sed 's/"services": \[\]/"services": ["orders"]/' traces/configuration.json > "$python_free_config"
expect "tenants may be given services" rudderway apply "$python_free_config"
awk '/^    curl/ {inside=1} inside {print substr($0, 5)} inside && !/\\$/ && !/[{,:]$/ {inside=0; print ""}' \
    docs/API.md | awk 'BEGIN {RS=""} {print > (dir "/example" NR ".sh")}' dir="$CLUSTER_DIR"
examples=0
for example in $(ls "$CLUSTER_DIR"/example*.sh | sort -V); do
    examples=$((examples + 1))
    example_output=$(. "$example" 2>&1)
    expect "example $(basename "$example")" \
        test -n "$example_output" -a "${example_output/\"error\"/}" = "$example_output"
done
expect "the page has its examples" test "$examples" -ge 9
