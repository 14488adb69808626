/** \file
 * Connections that send without end, and do not read unless told to. One thread serves them all, with sockets that do not block.
 */
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace HickoryHollow::Fakes {

/** Closes its descriptor. */
class RawSocket {
public:
    explicit RawSocket(int fd)
        : m_fd(fd)
    {
    }
    RawSocket(RawSocket&& other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    {
    }
    ~RawSocket() { reset(); }
    RawSocket(const RawSocket&) = delete;
    RawSocket& operator=(const RawSocket&) = delete;
    RawSocket& operator=(RawSocket&&) = delete;

    /** Connects to a port on loopback. */
    static RawSocket dial(int port)
    {
        RawSocket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(port));
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int on = 1;
        ::setsockopt(socket.m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        if (::connect(socket.m_fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0)
            socket.reset();
        return socket;
    }

    int fd() const { return m_fd; }
    bool isOpen() const { return m_fd >= 0; }
    void reset()
    {
        if (m_fd >= 0)
            ::close(std::exchange(m_fd, -1));
    }
    /** Makes the next close reset the connection. */
    void setToReset() const
    {
        const linger value { .l_onoff = 1, .l_linger = 0 };
        ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &value, sizeof(value));
    }

private:
    int m_fd;
};

class HostileCrowd {
public:
    HostileCrowd(int port, std::size_t n)
    {
        for (std::size_t i = 0; i < n; ++i)
            m_members.push_back({ .socket = RawSocket::dial(port) });
    }

    /**
     * Sends `start`, then `filler` again and again, on all connections at once, until the peer has closed each of them or it has
     * got `maxBytes` of filler. A peer that does neither is waited for: it must take the bytes or close. Answers are read and dropped.
     */
    void flood(const std::string& start, const std::string& filler, std::size_t maxBytes)
    {
        for (auto& it : m_members)
            it.sent = 0;
        const auto total = start.size() + (filler.empty() ? 0 : maxBytes);
        for (;;) {
            std::vector<pollfd> polled;
            std::vector<Member*> open;
            for (auto& it : m_members) {
                if (!it.socket.isOpen() || it.sent >= total)
                    continue;
                polled.push_back({ .fd = it.socket.fd(), .events = POLLIN | POLLOUT, .revents = 0 });
                open.push_back(&it);
            }
            if (polled.empty())
                return;
            ::poll(polled.data(), polled.size(), -1);
            for (std::size_t i = 0; i < polled.size(); ++i)
                serve(*open[i], polled[i].revents, start, filler);
        }
    }

    /** Sends `text` as far as the kernel takes it, and reads nothing. */
    void sendUnread(const std::string& text)
    {
        for (auto& it : m_members)
            ::send(it.socket.fd(), text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    }

    /** Reads and drops answers until the peer has closed all connections. */
    void awaitClose()
    {
        for (auto& it : m_members) {
            while (it.socket.isOpen())
                drop(it, 0);
        }
    }

    /** Tells the peer that nothing more comes, and keeps the connections. */
    void closeHalf()
    {
        for (auto& it : m_members)
            ::shutdown(it.socket.fd(), SHUT_WR);
    }
    void setToReset()
    {
        for (auto& it : m_members)
            it.socket.setToReset();
    }
    void leave() { m_members.clear(); }
    /** Reads and drops what has come, without waiting; returns the number of connections that the peer has closed. */
    std::size_t endedCount()
    {
        for (auto& it : m_members) {
            if (it.socket.isOpen())
                drop(it, MSG_DONTWAIT);
        }
        return m_members.size() - openCount();
    }
    std::size_t openCount() const
    {
        return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), [](const auto& it) { return it.socket.isOpen(); }));
    }

private:
    struct Member {
        RawSocket socket;
        std::size_t sent = 0; // Of the start and the filler together.
    };

    static void drop(Member& member, int flags)
    {
        char buf[16384];
        const auto n = ::recv(member.socket.fd(), buf, sizeof(buf), flags);
        if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
            member.socket.reset();
    }

    static void serve(Member& member, int events, const std::string& start, const std::string& filler)
    {
        if (events & (POLLIN | POLLERR | POLLHUP))
            drop(member, MSG_DONTWAIT);
        if (!member.socket.isOpen() || !(events & POLLOUT))
            return;
        const auto isStart = member.sent < start.size();
        const auto& text = isStart ? start : filler;
        const auto at = isStart ? member.sent : (member.sent - start.size()) % filler.size();
        const auto n = ::send(member.socket.fd(), text.data() + at, text.size() - at, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n > 0)
            member.sent += static_cast<std::size_t>(n);
        else if (errno != EAGAIN && errno != EINTR)
            member.socket.reset();
    }

    std::vector<Member> m_members;
};

} // namespace HickoryHollow::Fakes
