// Linked into tests that run processes in virtual time: one that ends drops its memory on purpose,
// as a process does, and a test ends its world in the middle. No leak detection here, as for the
// simulators themselves (tests/integration/store_simulator_test.sh).
extern "C" const char *__asan_default_options() {
    return "detect_leaks=0";
}
