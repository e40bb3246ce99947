/**
 * @file sweep.h
 * Runs a scenario over many seeds, a thread for each processor, and sums up.
 */
#ifndef RUDDERWAY_SIM_SWEEP_H
#define RUDDERWAY_SIM_SWEEP_H

#include "sim/world.h"

/**
 * Prints one line of JSON to @p output with the figures of seeds @p first to @p last, and each
 * violation with its seed to standard error; returns how many there were.
 */
uint64_t sweep_run(const scenario_t *scenario, uint64_t first, uint64_t last, FILE *output);

#endif
