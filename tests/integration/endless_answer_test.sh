# Sourced by scripts/check.sh: back ends whose bytes never end take neither memory nor other calls along.
endless_answer() { # SCENARIO
    python3 tests/soak/endless_answer_test.py --build "$BUILD" --folder "$CLUSTER_DIR/endless-answer" "$1"
}

for endless_form in event comments interim_heads body slow_event; do
    expect "an answer without end is given up: $endless_form" endless_answer "$endless_form"
done
for large_form in large_body large_body_with_length large_body_without_length; do
    expect "an answer of more than 16 MiB is whole or broken off: $large_form" endless_answer "$large_form"
done
