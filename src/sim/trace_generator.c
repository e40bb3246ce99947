#include "sim/trace_generator.h"

#include <string.h>

enum {
    INTERACTIVE_DEADLINE_MS = 60000,
    REVIEW_DEADLINE_MS = 120000,
    PEAKS = 2, /**< Departure peaks in a Comptoir trace. */
    ORDERS_PER_PROGRAM = 2,
};

typedef struct {
    const trace_options_t *options;
    GRand *random;
    FILE *output;
} generator_t;

static const char *const merrimack_tenants[] = {"concord", "nashua", "lowell-coop"};
static const char *const comptoir_tenants[] = {"montreal-airport", "quebec-airport", "lacolle"};

static int32_t between(const generator_t *generator, int32_t low, int32_t high) {
    return g_rand_int_range(generator->random, low, high + 1);
}

static bool chance(const generator_t *generator, double probability) {
    return g_rand_double(generator->random) < probability;
}

static const char *pick(const generator_t *generator, const char *const *names, int32_t count) {
    return names[between(generator, 0, count - 1)];
}

static void write_program(const generator_t *generator, const char *id, const char *tenant,
                          const char *template_name, int64_t at_ms, int64_t deadline_ms) {
    fprintf(generator->output,
            "{\"event\":\"program\",\"program\":\"%s\",\"tenant\":\"%s\",\"name\":\"%s\","
            "\"at_ms\":%" G_GINT64_FORMAT ",\"deadline_ms\":%" G_GINT64_FORMAT "}\n",
            id, tenant, template_name, at_ms, deadline_ms);
}

static void write_model(const generator_t *generator, const char *id, int32_t pause_ms,
                        int32_t prompt_tokens, int32_t output_tokens) {
    fprintf(generator->output,
            "{\"event\":\"model\",\"program\":\"%s\",\"pause_ms\":%d,\"prompt_tokens\":%d,"
            "\"output_tokens\":%d,\"repeatable\":true}\n",
            id, pause_ms, prompt_tokens, output_tokens);
}

static void write_tool(const generator_t *generator, const char *id, const char *tool,
                       bool repeatable) {
    fprintf(generator->output,
            "{\"event\":\"tool\",\"program\":\"%s\",\"name\":\"%s\",\"repeatable\":%s}\n", id, tool,
            repeatable ? "true" : "false");
}

static void write_subagent(const generator_t *generator, const char *id,
                           const char *template_name) {
    fprintf(generator->output, "{\"event\":\"subagent\",\"program\":\"%s\",\"name\":\"%s\"}\n", id,
            template_name);
}

static void write_end(const generator_t *generator, const char *id) {
    fprintf(generator->output, "{\"event\":\"end\",\"program\":\"%s\"}\n", id);
}

static void write_service(const generator_t *generator, const char *id, const char *tenant,
                          const char *service, int64_t at_ms, bool repeatable) {
    fprintf(generator->output,
            "{\"event\":\"service\",\"program\":\"%s\",\"tenant\":\"%s\",\"name\":\"%s\","
            "\"at_ms\":%" G_GINT64_FORMAT ",\"repeatable\":%s}\n",
            id, tenant, service, at_ms, repeatable ? "true" : "false");
}

/* --- Merrimack: collectors on the phone ----------------------------------------------------- */

/** Looks the account up, thinks, perhaps again; then writes the plan down, once. */
static void write_payment_plan(const generator_t *generator, const char *id, const char *tenant,
                               int64_t at_ms) {
    write_program(generator, id, tenant, "payment-plan", at_ms, INTERACTIVE_DEADLINE_MS);
    write_model(generator, id, 0, between(generator, 80, 250), between(generator, 20, 60));
    int32_t rounds = between(generator, 1, 4);
    for (int32_t i = 0; i < rounds; i++) {
        write_tool(generator, id, "ledger", true);
        write_model(generator, id, between(generator, 0, 400), between(generator, 30, 150),
                    between(generator, 30, 120));
    }
    write_tool(generator, id, "billing", false);
    write_model(generator, id, 0, between(generator, 20, 60), between(generator, 30, 80));
    write_end(generator, id);
}

/** Starts a sub-agent that reads the disputed bills while the parent waits for it. */
static void write_account_review(const generator_t *generator, const char *id, const char *tenant,
                                 int64_t at_ms) {
    write_program(generator, id, tenant, "account-review", at_ms, REVIEW_DEADLINE_MS);
    write_model(generator, id, 0, between(generator, 150, 500), between(generator, 30, 80));
    write_subagent(generator, id, "bill-reader");
    char *child = g_strdup_printf("%s~2", id);
    int32_t bills = between(generator, 2, 5);
    for (int32_t i = 0; i < bills; i++) {
        write_tool(generator, child, "ledger", true);
        write_model(generator, child, 0, between(generator, 100, 400), between(generator, 20, 60));
    }
    write_end(generator, child);
    g_free(child);
    write_model(generator, id, between(generator, 0, 600), between(generator, 50, 200),
                between(generator, 60, 160));
    write_end(generator, id);
}

static void generate_merrimack(const generator_t *generator) {
    const trace_options_t *options = generator->options;
    for (uint32_t i = 0; i < options->programs; i++) {
        int64_t at_ms = (int64_t)(g_rand_double(generator->random) * (double)options->duration_ms);
        const char *tenant = pick(generator, merrimack_tenants, G_N_ELEMENTS(merrimack_tenants));
        char *id = g_strdup_printf("m%u-%u", options->seed, i);
        if (chance(generator, 0.65))
            write_payment_plan(generator, id, tenant, at_ms);
        else
            write_account_review(generator, id, tenant, at_ms);
        g_free(id);
    }
}

/* --- Comptoir: travellers before departures --------------------------------------------------- */

/** Starts cluster around departure peaks. */
static int64_t peak_time(const generator_t *generator) {
    double width = (double)generator->options->duration_ms / (PEAKS * 6);
    double centre = (double)generator->options->duration_ms *
                    (2 * between(generator, 0, PEAKS - 1) + 1) / (2.0 * PEAKS);
    double spread = 0;
    for (int i = 0; i < 4; i++)
        spread += g_rand_double(generator->random) - 0.5;
    double at = centre + spread * width;
    return (int64_t)CLAMP(at, 0, (double)generator->options->duration_ms);
}

static void write_question(const generator_t *generator, const char *id, const char *tenant,
                           int64_t at_ms) {
    write_program(generator, id, tenant, "allowance-question", at_ms, INTERACTIVE_DEADLINE_MS);
    int32_t turns = between(generator, 1, 3);
    for (int32_t i = 0; i < turns; i++)
        write_model(generator, id, i == 0 ? 0 : between(generator, 500, 2500),
                    between(generator, 20, 80), between(generator, 40, 120));
    write_end(generator, id);
}

static void write_basket(const generator_t *generator, const char *id, const char *tenant,
                         int64_t at_ms) {
    write_program(generator, id, tenant, "basket", at_ms, REVIEW_DEADLINE_MS);
    int32_t turns = between(generator, 2, 6);
    for (int32_t i = 0; i < turns; i++) {
        write_model(generator, id, i == 0 ? 0 : between(generator, 300, 2000),
                    between(generator, 20, 100), between(generator, 20, 90));
        write_tool(generator, id, "catalogue", true);
    }
    write_tool(generator, id, "preorder", false);
    write_model(generator, id, 0, between(generator, 20, 40), between(generator, 20, 60));
    write_end(generator, id);
}

static void generate_comptoir(const generator_t *generator) {
    const trace_options_t *options = generator->options;
    for (uint32_t i = 0; i < options->programs; i++) {
        const char *tenant = pick(generator, comptoir_tenants, G_N_ELEMENTS(comptoir_tenants));
        int64_t at_ms = peak_time(generator);
        char *id = g_strdup_printf("c%u-%u", options->seed, i);
        if (chance(generator, 0.5))
            write_question(generator, id, tenant, at_ms);
        else
            write_basket(generator, id, tenant, at_ms);
        g_free(id);
    }
    for (uint32_t i = 0; i < options->programs * ORDERS_PER_PROGRAM; i++) {
        char *id = g_strdup_printf("o%u-%u", options->seed, i);
        const char *tenant = pick(generator, comptoir_tenants, G_N_ELEMENTS(comptoir_tenants));
        int64_t at_ms = peak_time(generator);
        write_service(generator, id, tenant, "orders", at_ms, chance(generator, 0.5));
        g_free(id);
    }
}

bool trace_deployment(const char *name, deployment_t *deployment) {
    bool merrimack = strcmp(name, "merrimack") == 0;
    *deployment = merrimack ? DEPLOYMENT_MERRIMACK : DEPLOYMENT_COMPTOIR;
    return merrimack || strcmp(name, "comptoir") == 0;
}

void trace_generate(const trace_options_t *options, FILE *output) {
    generator_t generator = {
        .options = options, .random = g_rand_new_with_seed(options->seed), .output = output};
    if (options->deployment == DEPLOYMENT_MERRIMACK)
        generate_merrimack(&generator);
    else
        generate_comptoir(&generator);
    g_rand_free(generator.random);
}
