// A TCP port on the loopback interface, as that of a back end in one of several states.
#ifndef RUDDERWAY_TESTS_LOOPBACK_PORT_H
#define RUDDERWAY_TESTS_LOOPBACK_PORT_H

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

/** A port that accepts connections, refuses them, or does not answer at all. */
class Port {
  public:
    enum Kind { ACCEPTS, REFUSES, SILENT };
    explicit Port(Kind kind) {
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        listener = socket(AF_INET, SOCK_STREAM, 0);
        EXPECT_EQ(bind(listener, reinterpret_cast<sockaddr *>(&address), length), 0);
        getsockname(listener, reinterpret_cast<sockaddr *>(&address), &length);
        if (kind != REFUSES) {
            EXPECT_EQ(listen(listener, kind == SILENT ? 0 : 5), 0);
        }
        // The kernel drops requests for connections while the queue of those not accepted is full.
        for (unsigned i = 0; kind == SILENT && i < 4; i++) {
            int waiting = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            connect(waiting, reinterpret_cast<sockaddr *>(&address), length);
            queued.push_back(waiting);
        }
    }
    Port(const Port &) = delete;
    Port &operator=(const Port &) = delete;
    ~Port() {
        for (int waiting : queued)
            close(waiting);
        close(listener);
    }
    sockaddr_in address = {};

  private:
    int listener;
    std::vector<int> queued;
};

#endif
