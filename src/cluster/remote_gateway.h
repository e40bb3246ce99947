/**
 * @file remote_gateway.h
 * How storage nodes name gateways of other zones in the list of gateways that one should know.
 * Earlier versions take the text for no address and leave it out.
 *
 * Thread safety: the functions are pure and may be called from any thread.
 */
#ifndef RUDDERWAY_CLUSTER_REMOTE_GATEWAY_H
#define RUDDERWAY_CLUSTER_REMOTE_GATEWAY_H

#include <netinet/in.h>
#include <stdbool.h>

/** The text for the gateway at @p address ("IP:PORT") of zone @p zone; the caller owns it. */
char *remote_gateway_format(const char *zone, const char *address);
/** Reads it; false if @p text is another one. The caller owns @p zone. */
bool remote_gateway_parse(const char *text, char **zone, struct sockaddr_in *address);

#endif
