# Sourced by scripts/check.sh: what crowds of callers can make a gateway and storage nodes hold is bounded.
hostile_callers() { # SCENARIO
    python3 tests/soak/hostile_callers_test.py --build "$BUILD" --folder "$CLUSTER_DIR/hostile-callers" "$1"
}

for crowd in chunk_without_end chunks_without_end bytes_without_end byte_missing byte_missing_of_old \
    left_and_begun_again trailers_without_end too_large whole_and_late half_closed_and_late \
    rests_after_404 upload_behind_a_request unread_stream unread_answer large_first_turns \
    large_conversations several_gateways stores_restarted long_ids report_ports idle_connections \
    rest_on_connections stopped; do
    expect "callers that keep within no limit are served within the memory of small machines: $crowd" \
        hostile_callers "$crowd"
done
