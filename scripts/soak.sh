#!/usr/bin/env bash
# A randomized fault soak over real gateways and storage nodes: SEEDS (by default a fresh one every
# run, SOAK_RUNS of them), each with SOAK_SECONDS of faults. Exit status 0: no promise was broken.
# SOAK_FEATURES: some of "zones,born,tenants,slow,large,kept,grace", or none, instead of those drawn
# from the seed.
# A seed that fails leaves its logs in soak-run/SEED or, with given features, soak-run/SEED-FEATURES.
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
RUNS=${SOAK_RUNS:-10}
LENGTH=${SOAK_SECONDS:-25}
SEEDS=${SEEDS:-$(for _ in $(seq "$RUNS"); do echo "$((RANDOM * 32768 + RANDOM))"; done)}
failed=0
for seed in $SEEDS; do
    folder=soak-run/$seed${SOAK_FEATURES:+-$SOAK_FEATURES}
    mkdir -p soak-run
    if python3 tests/soak/soak.py --build "$BUILD" --seed "$seed" --seconds "$LENGTH" \
        ${SOAK_FEATURES:+--features "$SOAK_FEATURES"} --folder "$folder" > "$folder.txt" 2>&1; then
        tail -1 "$folder.txt"
        rm -rf "$folder" "$folder.txt"
    else
        failed=$((failed + 1))
        echo "seed $seed: a promise was broken; see $folder.txt and $folder"
        grep BROKEN "$folder.txt" | head -5
        tail -1 "$folder.txt"
    fi
done
echo "soak: $(wc -w <<< "$SEEDS") seeds, $failed failed"
[ "$failed" -eq 0 ]
