// An HTTP server on the loopback interface that answers an upload before it has read all of it.
#ifndef RUDDERWAY_TESTS_UPLOAD_SERVER_H
#define RUDDERWAY_TESTS_UPLOAD_SERVER_H

#include "scripted_server.h"

#include <algorithm>
#include <string>
#include <thread>

constexpr size_t upload_bytes = 8000000;
constexpr useconds_t half_closed_us = 100000;

/** How a server that has answered ends an upload that it has read in part. */
enum class UploadEnd { reset, late_reset, close, half_close };

/** Reads some of a request, answers, and ends its side of the connection. */
class UploadServer {
  public:
    UploadServer(size_t read_bytes, const std::string &answer, UploadEnd end) {
        listener_ = listen_on_loopback(&address, 1);
        thread_ = std::thread([this, read_bytes, answer, end] { serve(read_bytes, answer, end); });
    }
    ~UploadServer() {
        thread_.join();
        close(listener_);
    }
    UploadServer(const UploadServer &) = delete;
    UploadServer &operator=(const UploadServer &) = delete;

    sockaddr_in address{};

  private:
    void serve(size_t read_bytes, const std::string &answer, UploadEnd end) const {
        int connection = accept(listener_, nullptr, nullptr);
        std::string buffer(65536, '\0');
        for (size_t left = read_bytes; left > 0;) {
            ssize_t count = read(connection, buffer.data(), std::min(left, buffer.size()));
            if (count <= 0)
                break;
            left -= static_cast<size_t>(count);
        }
        (void)!send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
        if (end == UploadEnd::late_reset)
            usleep(1000);
        if (end == UploadEnd::half_close) {
            shutdown(connection, SHUT_WR);
            usleep(half_closed_us);
        }
        bool is_reset = end == UploadEnd::reset || end == UploadEnd::late_reset;
        end_connection(connection, is_reset ? Ending::reset : Ending::clean);
    }

    int listener_;
    std::thread thread_;
};

#endif
