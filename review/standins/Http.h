/** \file
 * Small blocking HTTP/1.1 over TCP for the stand-ins: addresses, sockets with time limits, messages with a length or in chunks.
 */
#pragma once

#include "Record.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Review {

using Milliseconds = std::chrono::milliseconds;

struct Address {
    std::string ip;
    int port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
    sockaddr_in native() const
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return address;
    }
};

/** Owns a socket. */
class Socket {
public:
    explicit Socket(int fd = -1)
        : m_fd(fd)
    {
    }
    ~Socket() { close(); }
    Socket(Socket&& other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    {
    }
    Socket& operator=(Socket&& other) noexcept
    {
        if (this != &other) {
            close();
            m_fd = std::exchange(other.m_fd, -1);
        }
        return *this;
    }

    int fd() const { return m_fd; }
    bool isOpen() const { return m_fd >= 0; }
    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
    }

    bool send(const std::string& bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n < 0 && errno == EINTR)
                continue;
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    /** Appends what arrives before the time limit. Returns false at the end of the connection, an error or the limit. */
    bool receive(std::string& bytes, Clock::time_point until) const
    {
        const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
        pollfd entry { .fd = m_fd, .events = POLLIN, .revents = 0 };
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0)
            return false;
        char buf[65536];
        const auto n = ::recv(m_fd, buf, sizeof(buf), 0);
        if (n <= 0)
            return false;
        bytes.append(buf, static_cast<std::size_t>(n));
        return true;
    }

    /** True if the peer has closed the connection. */
    bool hasPeerClosed() const
    {
        char byte = 0;
        const auto n = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

private:
    int m_fd;
};

inline Socket connectTo(const Address& address, Milliseconds timeout = Milliseconds(1000))
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const auto native = address.native();
    if (::connect(socket.fd(), reinterpret_cast<const sockaddr*>(&native), sizeof(native)) != 0) {
        pollfd entry { .fd = socket.fd(), .events = POLLOUT, .revents = 0 };
        int error = 0;
        socklen_t size = sizeof(error);
        if (errno != EINPROGRESS || ::poll(&entry, 1, static_cast<int>(timeout.count())) <= 0 || ::getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
            return Socket();
    }
    const int on = 1;
    ::setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    // Blocking from here on; receive() polls first.
    timeval sendLimit { .tv_sec = 30, .tv_usec = 0 };
    ::setsockopt(socket.fd(), SOL_SOCKET, SO_SNDTIMEO, &sendLimit, sizeof(sendLimit));
    const int flags = 0;
    ::ioctl(socket.fd(), FIONBIO, &flags);
    return socket;
}

inline Socket listenAt(const Address& address)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto native = address.native();
    if (::bind(socket.fd(), reinterpret_cast<const sockaddr*>(&native), sizeof(native)) != 0 || ::listen(socket.fd(), 512) != 0)
        return Socket();
    return socket;
}

struct Message {
    std::string first; ///< Request line or status line.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool isWhole = false; ///< The body came to the end that its length or its chunks announce.

    std::string field(const char* name) const
    {
        for (const auto& [key, value] : fields) {
            if (strcasecmp(key.c_str(), name) == 0)
                return value;
        }
        return {};
    }
    int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
    std::string word(int number) const
    {
        std::size_t from = 0;
        for (; number > 0 && from != std::string::npos; --number)
            from = first.find(' ', from) + 1;
        return first.substr(from, first.find(' ', from) - from);
    }
};

/** Reads messages from one connection; keeps the bytes that follow a message for the next one. */
class MessageReader {
public:
    /** Reads a message; `hasBody` is false for answers that never have one. Returns nothing if no whole head arrives. */
    std::optional<Message> read(const Socket& socket, Clock::time_point until, bool hasBody = true)
    {
        std::size_t end = 0;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!socket.receive(m_bytes, until))
                return std::nullopt;
        }
        Message message;
        parseHead(m_bytes.substr(0, end), message);
        m_bytes.erase(0, end + 4);
        if (!hasBody)
            message.isWhole = true;
        else if (strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0)
            message.isWhole = readChunks(socket, until, message.body);
        else
            message.isWhole = readExactly(socket, until, static_cast<std::size_t>(std::atoll(message.field("Content-Length").c_str())), message.body);
        return message;
    }

    /** Bytes that arrived after the last message. */
    const std::string& rest() const { return m_bytes; }

private:
    static void parseHead(const std::string& head, Message& message)
    {
        std::size_t at = head.find("\r\n");
        message.first = head.substr(0, at);
        while (at != std::string::npos) {
            at += 2;
            const auto next = head.find("\r\n", at);
            const auto line = head.substr(at, next == std::string::npos ? next : next - at);
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                const auto value = line.find_first_not_of(" \t", colon + 1);
                message.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
            }
            at = next;
        }
    }

    bool readExactly(const Socket& socket, Clock::time_point until, std::size_t n, std::string& body)
    {
        while (m_bytes.size() < n) {
            if (!socket.receive(m_bytes, until)) {
                body += std::exchange(m_bytes, {});
                return false;
            }
        }
        body += m_bytes.substr(0, n);
        m_bytes.erase(0, n);
        return true;
    }

    bool readChunks(const Socket& socket, Clock::time_point until, std::string& body)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = m_bytes.find("\r\n")) == std::string::npos) {
                if (!socket.receive(m_bytes, until))
                    return false;
            }
            const auto n = std::strtoul(m_bytes.c_str(), nullptr, 16);
            m_bytes.erase(0, end + 2);
            std::string lineEnd;
            if (!readExactly(socket, until, n, body) || !readExactly(socket, until, 2, lineEnd))
                return false;
            if (n == 0)
                return true;
        }
    }

    std::string m_bytes;
};

} // namespace Review
