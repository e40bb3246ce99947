# Sourced by scripts/check.sh: back ends that answer an upload before they have read it.
broken_upload() { # SCENARIO
    python3 tests/soak/broken_upload_test.py --build "$BUILD" \
        --folder "$CLUSTER_DIR/broken-upload" --programs 0 "$1"
}

# Guards against a part of an answer that passed as whole, since the upload's write took the reset.
expect "an answer without a length is cut if its connection is reset under the upload" \
    broken_upload reset
expect "so is one that did not announce its connection's end" broken_upload reset_unannounced
expect "it is whole if its back end ends its side under the upload" broken_upload half_close
