# Sourced by scripts/check.sh: back ends whose bytes never end take neither memory nor other calls along.
endless_answer() { # SCENARIO
    python3 tests/soak/endless_answer_test.py --build "$BUILD" --folder "$CLUSTER_DIR/endless-answer" "$1"
}

for endless_form in event comments interim_heads body slow_event; do
    expect "an answer without end is given up: $endless_form" endless_answer "$endless_form"
done
