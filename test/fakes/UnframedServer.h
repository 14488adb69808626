/** \file
 * A server on loopback whose answers have neither a length nor chunks. It writes an event a step, and ends each answer in an orderly way
 * or, as a process that ends, with all its connections at once.
 */
#pragma once

#include "base/Time.h"
#include "net/Timer.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

namespace HickoryHollow::Fakes {

class UnframedServer {
public:
    enum class End {
        Orderly, ///< Only the connection of the answer.
        Closed, ///< The same; no new one is accepted.
        Full, ///< As Orderly; each connection beside it is reset as soon as it is accepted.
        Crash, ///< All connections, and no new one is accepted.
        SlowCrash, ///< The same, but all beside the connection of the answer end a step later.
        Restart, ///< All connections; new ones are accepted at once.
    };

    struct Options {
        std::string fields; ///< Of the header, each with its line end.
        std::vector<std::string> parts; ///< Of the body.
        End end = End::Orderly;
        bool endsAtOnce = false; ///< The end comes right behind the last part, without a step between them.
    };

    UnframedServer(asio::io_context& loop, Options options)
        : m_loop(loop)
        , m_options(std::move(options))
        , m_acceptor(loop, { asio::ip::address_v4::loopback(), 0 })
        , m_port(m_acceptor.local_endpoint().port())
        , m_slowEnd(loop)
    {
        accept();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    std::size_t requests() const { return m_requests; }
    /** Ends all that runs on the loop. */
    void stop()
    {
        m_acceptor.close();
        for (const auto& it : m_peers)
            it->end();
    }

private:
    static constexpr std::chrono::milliseconds step { 5 };
    static constexpr int maxSteps = 40; // Until the end, if no other connection comes.

    struct Peer {
        Peer(asio::io_context& loop, asio::ip::tcp::socket&& accepted)
            : socket(std::move(accepted))
            , timer(loop)
        {
        }
        void end()
        {
            boost::system::error_code ignored;
            socket.close(ignored);
            timer.cancel();
        }
        asio::ip::tcp::socket socket;
        Timer timer;
        std::string read;
        std::size_t next = 0;
        int steps = 0;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code& ec, asio::ip::tcp::socket socket) {
            if (ec)
                return;
            if (m_options.end == End::Full && m_requests > 0) {
                boost::system::error_code ignored;
                socket.set_option(asio::socket_base::linger(true, 0), ignored);
                socket.close(ignored);
                accept();
                return;
            }
            m_peers.push_back(std::make_shared<Peer>(m_loop, std::move(socket)));
            const auto peer = m_peers.back();
            asio::async_read_until(peer->socket, asio::dynamic_buffer(peer->read), "\r\n\r\n", [this, peer](const auto& readEc, std::size_t) {
                if (readEc) {
                    peer->end();
                    return;
                }
                ++m_requests;
                write(peer, "HTTP/1.1 200 OK\r\nConnection: close\r\n" + m_options.fields + "\r\n");
            });
            accept();
        });
    }

    void write(const std::shared_ptr<Peer>& peer, const std::string& text)
    {
        const auto bytes = std::make_shared<std::string>(text);
        asio::async_write(peer->socket, asio::buffer(*bytes), [this, peer, bytes](const auto& ec, std::size_t) {
            if (!ec && m_options.endsAtOnce && peer->next == m_options.parts.size())
                end(*peer);
            else if (!ec)
                wait(peer);
        });
    }

    void wait(const std::shared_ptr<Peer>& peer)
    {
        peer->timer.expires_after(step);
        peer->timer.async_wait([this, peer](const auto& ec) {
            if (!ec)
                goOn(peer);
        });
    }

    void goOn(const std::shared_ptr<Peer>& peer)
    {
        // A process ends at any time; here not before another connection has shown that it runs.
        const auto isLastStep = peer->next + (m_options.endsAtOnce ? 1 : 0) >= m_options.parts.size();
        const auto others = std::count_if(m_peers.begin(), m_peers.end(), [](const auto& it) { return it->socket.is_open(); }) - 1;
        if (m_options.end != End::Orderly && m_options.end != End::Full && isLastStep && others == 0 && ++peer->steps < maxSteps)
            wait(peer);
        else if (peer->next < m_options.parts.size())
            write(peer, m_options.parts[peer->next++]);
        else
            end(*peer);
    }

    void end(Peer& peer)
    {
        if (m_options.end == End::Orderly || m_options.end == End::Full) {
            peer.end();
            return;
        }
        if (m_options.end == End::Closed) {
            m_acceptor.close();
            peer.end();
            return;
        }
        if (m_options.end == End::SlowCrash) {
            peer.end();
            m_slowEnd.expires_after(step);
            m_slowEnd.async_wait([this](const auto& ec) {
                if (!ec)
                    stop();
            });
            return;
        }
        stop();
        m_peers.clear();
        if (m_options.end == End::Restart) {
            m_acceptor = asio::ip::tcp::acceptor(m_loop, { asio::ip::address_v4::loopback(), m_port });
            accept();
        }
    }

    asio::io_context& m_loop;
    Options m_options;
    asio::ip::tcp::acceptor m_acceptor;
    unsigned short m_port;
    Timer m_slowEnd;
    std::vector<std::shared_ptr<Peer>> m_peers;
    std::size_t m_requests = 0;
};

} // namespace HickoryHollow::Fakes
