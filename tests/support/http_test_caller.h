// A caller of an HTTP listener on the loopback interface, byte by byte.
#ifndef RUDDERWAY_TESTS_HTTP_TEST_CALLER_H
#define RUDDERWAY_TESTS_HTTP_TEST_CALLER_H

#include <gtest/gtest.h>

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <string>

enum class Ending { open, clean, reset };

/** A caller with a small receive buffer, so that most of a large answer waits at the listener. */
class Caller {
  public:
    explicit Caller(const sockaddr_in &address) : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
        int bytes = 65536;
        setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
        EXPECT_EQ(
            connect(descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof address), 0);
        fcntl(descriptor_, F_SETFL, O_NONBLOCK);
    }
    ~Caller() {
        close(descriptor_);
    }
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    void send_bytes(const std::string &bytes) const {
        EXPECT_EQ(send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(bytes.size()));
    }
    /** Sends whole copies of @p bytes, the last as far as there is room; goes on with it then. */
    void send_what_fits(const std::string &bytes) {
        ssize_t count = 0;
        do {
            sent_ = (sent_ + static_cast<size_t>(count)) % bytes.size();
            count = send(descriptor_, bytes.data() + sent_, bytes.size() - sent_, MSG_NOSIGNAL);
        } while (count > 0);
    }
    void end_sending() const {
        EXPECT_EQ(shutdown(descriptor_, SHUT_WR), 0);
    }
    /** Takes what has come, @p most bytes at most. */
    void read_some(size_t most = SIZE_MAX) {
        char buffer[65536];
        while (most > 0 && ending == Ending::open) {
            ssize_t count = recv(descriptor_, buffer, std::min(most, sizeof buffer), 0);
            if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
                return;
            if (count <= 0) {
                ending = count == 0 ? Ending::clean : Ending::reset;
                return; /* A reset is told once; then the socket reports an end. */
            }
            received.append(buffer, static_cast<size_t>(count));
            most -= static_cast<size_t>(count);
        }
    }
    /** Whole answers with a body of @p length bytes that have come. */
    [[nodiscard]] size_t answers(size_t length) const {
        size_t count = 0;
        size_t at = 0;
        while ((at = received.find("\r\n\r\n", at)) != std::string::npos) {
            at += 4 + length;
            count += at <= received.size();
        }
        return count;
    }

    std::string received;
    Ending ending = Ending::open;

  private:
    int descriptor_;
    size_t sent_ = 0;
};

#endif
