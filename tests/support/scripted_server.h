// An HTTP server on the loopback interface that gives one answer.
#ifndef RUDDERWAY_TESTS_SCRIPTED_SERVER_H
#define RUDDERWAY_TESTS_SCRIPTED_SERVER_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

enum class Ending { clean, reset };

// Listens on a port that the kernel chooses; sets `address` and returns the socket.
inline int listen_on_loopback(sockaddr_in *address, int backlog) {
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    address->sin_family = AF_INET;
    address->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(listener, reinterpret_cast<sockaddr *>(address), sizeof *address);
    socklen_t length = sizeof *address;
    getsockname(listener, reinterpret_cast<sockaddr *>(address), &length);
    listen(listener, backlog);
    return listener;
}

inline void end_connection(int connection, Ending ending) {
    if (ending == Ending::reset) {
        linger now = {1, 0};
        setsockopt(connection, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    close(connection);
}

// Accepts one connection, reads a request, writes `answer` and ends the connection.
class Server {
  public:
    Server(const std::string &answer, Ending ending) {
        listener_ = listen_on_loopback(&address, 1);
        thread_ = std::thread([this, answer, ending] { serve(answer, ending); });
    }
    ~Server() {
        thread_.join();
        close(listener_);
    }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    sockaddr_in address{};

  private:
    void serve(const std::string &answer, Ending ending) const {
        int connection = accept(listener_, nullptr, nullptr);
        char buffer[4096];
        (void)!read(connection, buffer, sizeof buffer);
        (void)!send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
        end_connection(connection, ending);
    }

    int listener_;
    std::thread thread_;
};

#endif
