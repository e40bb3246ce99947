/**
 * @file trace_generator.h
 * Writes seeded traces shaped after the two deployments; docs/TRACES.md describes them.
 */
#ifndef RUDDERWAY_SIM_TRACE_GENERATOR_H
#define RUDDERWAY_SIM_TRACE_GENERATOR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

typedef enum { DEPLOYMENT_MERRIMACK, DEPLOYMENT_COMPTOIR } deployment_t;

typedef struct {
    deployment_t deployment;
    uint32_t seed;
    uint32_t programs;
    int64_t duration_ms; /**< Over which programs begin. */
} trace_options_t;

/** The same options always give the same bytes. */
void trace_generate(const trace_options_t *options, FILE *output);
/** False if @p name is no deployment. */
bool trace_deployment(const char *name, deployment_t *deployment);

#endif
