/**
 * @file cluster_client.h
 * Access to a running cluster, named by the environment: NODES ("IP:PORT IP:PORT ..."), PEERS
 * (likewise, the peer ports), RECORDS (folder of the stand-ins' records), CLUSTER_KEY, TOKEN and
 * ADMIN_TOKEN. scripts/check.sh sets them.
 */
#ifndef RUDDERWAY_TESTS_CLUSTER_CLIENT_H
#define RUDDERWAY_TESTS_CLUSTER_CLIENT_H

#include <glib.h>
#include <jansson.h>

extern "C" {
#include "common/http_client.h"
}

#include <functional>
#include <string>
#include <vector>

struct Address {
    std::string ip;
    uint16_t port;
};

struct Answer {
    unsigned status = 0; /**< 0: none. */
    std::string body;
    error_code_t error = RUDDERWAY_ERROR_NONE;
};

std::vector<Address> addresses(const char *variable);
std::string environment(const char *variable);

/** One request with the tenant's token (or @p token); @p on_chunk may return false to hang up. */
Answer request(const Address &node, const char *method, const std::string &path,
               const std::string &body, const std::string &token = "",
               std::function<bool(const std::string &)> on_chunk = nullptr);

/** The text of a field of a JSON object found by a path such as "error.code"; "" if absent. */
std::string field(const std::string &json, const std::string &path);

/** Opens a TCP connection; -1 on failure. */
int dial(const Address &address);
/** Reads until the other side closes or @p seconds of silence. */
std::string read_all(int descriptor, int seconds);

#endif
