#include "cluster_client.h"

#include <arpa/inet.h>
#include <cstdlib>
#include <sstream>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

std::string environment(const char *variable) {
    const char *value = getenv(variable);
    return value != nullptr ? value : "";
}

std::vector<Address> addresses(const char *variable) {
    std::vector<Address> list;
    std::stringstream words(environment(variable));
    for (std::string word; words >> word;) {
        size_t colon = word.rfind(':');
        list.push_back(
            {word.substr(0, colon), static_cast<uint16_t>(std::stoul(word.substr(colon + 1)))});
    }
    return list;
}

namespace {

http_client_t *shared_client() {
    static http_client_t *client = http_client_new();
    return client;
}

bool forward(void *context, const char *data, size_t length) {
    return (*static_cast<std::function<bool(const std::string &)> *>(context))(
        std::string(data, length));
}

} // namespace

Answer request(const Address &node, const char *method, const std::string &path,
               const std::string &body, const std::string &token,
               std::function<bool(const std::string &)> on_chunk) {
    std::string bearer = token.empty() ? environment("TOKEN") : token;
    http_call_t call = {};
    call.address = node.ip.c_str();
    call.port = node.port;
    call.method = method;
    call.path = path.c_str();
    call.authorization = bearer.c_str();
    call.body = body.empty() ? nullptr : body.c_str();
    call.body_length = body.size();
    call.timeout_ms = 120000;
    if (on_chunk) {
        call.on_chunk = forward;
        call.context = &on_chunk;
    }
    http_answer_t reply = {};
    GError *error = nullptr;
    Answer answer;
    if (http_client_call(shared_client(), &call, &reply, &error))
        answer.status = reply.status;
    if (error != nullptr)
        answer.error = static_cast<error_code_t>(error->code);
    g_clear_error(&error);
    size_t length;
    const void *data = g_bytes_get_data(reply.body, &length);
    answer.body.assign(static_cast<const char *>(data), length);
    http_answer_clear(&reply);
    return answer;
}

std::string field(const std::string &json, const std::string &path) {
    json_t *value = json_loadb(json.data(), json.size(), 0, nullptr);
    const json_t *found = value;
    std::stringstream keys(path);
    for (std::string key; std::getline(keys, key, '.');)
        found = json_is_array(found) ? json_array_get(found, std::stoul(key))
                                     : json_object_get(found, key.c_str());
    std::string text;
    if (json_is_string(found))
        text = json_string_value(found);
    else if (json_is_integer(found))
        text = std::to_string(json_integer_value(found));
    json_decref(value);
    return text;
}

int dial(const Address &address) {
    sockaddr_in target = {};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(descriptor, reinterpret_cast<sockaddr *>(&target), sizeof target) == 0)
        return descriptor;
    close(descriptor);
    return -1;
}

std::string read_all(int descriptor, int seconds) {
    timeval limit = {seconds, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    std::string text;
    char block[4096];
    for (ssize_t length; (length = recv(descriptor, block, sizeof block, 0)) > 0;)
        text.append(block, static_cast<size_t>(length));
    return text;
}
