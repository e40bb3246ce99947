# Sourced by scripts/check.sh: the soak's own checks, one seed of it, and each seed that ever failed
# (tests/soak/seeds.txt), as the plan alone.
SOAK_SECONDS=${SOAK_SECONDS:-12}

soak_seed() {
    SEEDS=$1 SOAK_SECONDS=$SOAK_SECONDS SOAK_FEATURES=${2:-none} bash scripts/soak.sh
}

expect "the soak notices each broken promise" python3 tests/soak/promises_test.py
expect "the soak's key-value service tells each change" python3 tests/soak/key_value_test.py
expect "the soak cuts a zone off" python3 tests/soak/zone_cut_test.py
for soak_seed_number in 1 $(sed 's/#.*//' tests/soak/seeds.txt | awk 'NF {print $1}'); do
    expect "soak, seed $soak_seed_number" soak_seed "$soak_seed_number"
done
expect "soak, seed 1 with zones cut off, back ends restarted and limits of tenants" \
    soak_seed 1 zones,born,tenants
# Two storage nodes are emptied one after the other: the second spare was given the name of the first,
# which is still there, and emptying that one never ended. Needs the full length.
SOAK_SECONDS=25 expect "soak, seed 180438672" soak_seed 180438672
