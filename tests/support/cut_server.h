// An HTTP server on the loopback interface whose answers stop after a number of bytes.
#ifndef RUDDERWAY_TESTS_CUT_SERVER_H
#define RUDDERWAY_TESTS_CUT_SERVER_H

#include "scripted_server.h"

#include <atomic>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>

enum class Framing { length, chunks, none };

// An answer with status 200 and `body`, which ends in the connection's end if it has no frame.
inline std::string framed_answer(Framing framing, const std::string &body) {
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    if (framing == Framing::length)
        return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (framing == Framing::none)
        return head + "Connection: close\r\n\r\n" + body;
    char size[32];
    size_t half = body.size() / 2;
    std::string chunks;
    for (const std::string &part : {body.substr(0, half), body.substr(half)}) {
        snprintf(size, sizeof size, "%zx\r\n", part.size());
        chunks += size + part + "\r\n";
    }
    return head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n";
}

// Accepts connections one after the other; each gets `answer`, which is set between requests.
class CutServer {
  public:
    CutServer() {
        listener_ = listen_on_loopback(&address, 64);
        thread_ = std::thread([this] { serve(); });
    }
    ~CutServer() {
        stopping_ = true;
        shutdown(listener_, SHUT_RDWR);
        thread_.join();
        close(listener_);
    }
    CutServer(const CutServer &) = delete;
    CutServer &operator=(const CutServer &) = delete;

    uint16_t port() const {
        return ntohs(address.sin_port);
    }
    // What each connection gets before; it must have a length.
    void set_first(const std::string &answer) {
        std::lock_guard<std::mutex> guard(lock_);
        first_ = answer;
    }
    void set(const std::string &answer, Ending ending) {
        std::lock_guard<std::mutex> guard(lock_);
        answer_ = answer;
        ending_ = ending;
    }

    sockaddr_in address{};

  private:
    // Bytes that are left unread would turn the close into a reset.
    static void read_request(int connection) {
        std::string request;
        char buffer[4096];
        for (;;) {
            size_t end = request.find("\r\n\r\n");
            size_t field = request.find("Content-Length: ");
            size_t body =
                field == std::string::npos ? 0 : strtoul(&request[field + 16], nullptr, 10);
            if (end != std::string::npos && request.size() >= end + 4 + body)
                return;
            ssize_t count = read(connection, buffer, sizeof buffer);
            if (count <= 0)
                return;
            request.append(buffer, static_cast<size_t>(count));
        }
    }
    void serve() {
        for (;;) {
            int connection = accept(listener_, nullptr, nullptr);
            if (stopping_ || connection < 0)
                return;
            read_request(connection);
            std::unique_lock<std::mutex> guard(lock_);
            if (!first_.empty()) {
                (void)!send(connection, first_.data(), first_.size(), MSG_NOSIGNAL);
                guard.unlock();
                read_request(connection);
                guard.lock();
            }
            (void)!send(connection, answer_.data(), answer_.size(), MSG_NOSIGNAL);
            end_connection(connection, ending_);
        }
    }

    int listener_;
    std::atomic<bool> stopping_{false};
    std::mutex lock_;
    std::string first_;
    std::string answer_;
    Ending ending_ = Ending::clean;
    std::thread thread_;
};

#endif
