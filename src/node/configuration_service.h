/**
 * @file configuration_service.h
 * Accepts edits, and brings accepted edits into force here and everywhere.
 *
 * An edit is accepted by writing it to the key-value service under the next revision number,
 * if that number is still free: one compare-and-swap orders all edits. If the answer is lost,
 * the number is read back and the edit's id tells what happened. From then on an edit spreads
 * from peer to peer: whoever learns of it passes it to a few others, and every membership
 * message carries the sender's revision, so whoever lags asks. A few nodes of each zone also
 * watch the key-value service. Revisions only grow, so neither a stale replica nor a restored
 * backup of the service can take one back.
 *
 * Thread safety: edits are submitted from any thread; the rest is for the decision thread.
 */
#ifndef RUDDERWAY_NODE_CONFIGURATION_SERVICE_H
#define RUDDERWAY_NODE_CONFIGURATION_SERVICE_H

#include "common/http_server.h"
#include "node/node.h"

configuration_service_t *configuration_service_new(uint64_t seed);
void configuration_service_free(configuration_service_t *service);
void configuration_service_tick(node_t *node);
/** A peer has told its revision. */
void configuration_service_heard(node_t *node, instance_id_t from, uint64_t revision);
void configuration_service_asked(node_t *node, instance_id_t from,
                                 const configuration_news_t *request);
void configuration_service_told(node_t *node, instance_id_t from, const configuration_news_t *news);
/** Takes over @p request, to be answered with the fate of @p edit. Any thread. */
void configuration_service_submit(node_t *node, http_request_t *request, edit_t *edit);
/** Kept edits as JSON, newest first. */
json_t *configuration_service_history(const node_t *node);
/** An edit that restores the objects of @p revision; NULL and an error if it is forgotten. */
edit_t *configuration_service_rollback(const node_t *node, uint64_t revision, const char *id,
                                       GError **error);

#endif
