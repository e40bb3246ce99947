# Sourced by scripts that start processes at ports of their own; see tests/soak/ports.py.

# hold_ports: sets HELD_PORTS to the first port of a block that no other play of this machine uses.
# The block is held until this shell and the processes that it started have ended.
hold_ports() {
    local folder=${TMPDIR:-/tmp}/rudderway-ports block
    mkdir -p "$folder"
    for block in $(seq 10000 1000 29000); do
        exec {HELD_PORTS_LOCK}> "$folder/$block"
        if flock -n "$HELD_PORTS_LOCK"; then
            HELD_PORTS=$block
            return 0
        fi
        exec {HELD_PORTS_LOCK}>&-
    done
    echo "all blocks of ports from 10000 to 29999 are held" >&2
    return 1
}
