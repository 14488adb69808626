/** \file
 * A server in trouble that answers each request with bytes that do not end. One thread serves all its connections.
 */
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <thread>

namespace HickoryHollow::Fakes {

/** Answers each request on its port with `start`, and then sends `filler` until the connection is closed or a bound is reached. */
class EndlessServer {
public:
    EndlessServer(int port, std::string start, std::string filler)
        : m_start(std::move(start))
        , m_filler(std::move(filler))
        , m_acceptor(m_loop, { boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(port) })
    {
        accept();
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~EndlessServer()
    {
        m_loop.stop();
        m_thread.join();
    }
    EndlessServer(const EndlessServer&) = delete;
    EndlessServer& operator=(const EndlessServer&) = delete;

private:
    static constexpr std::size_t maxBytes = 64UL << 20U;

    struct Peer {
        explicit Peer(boost::asio::ip::tcp::socket&& accepted)
            : socket(std::move(accepted))
        {
        }
        boost::asio::ip::tcp::socket socket;
        std::string read;
        std::size_t sent = 0;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code& ec, boost::asio::ip::tcp::socket socket) {
            if (ec)
                return;
            const auto peer = std::make_shared<Peer>(std::move(socket));
            boost::asio::async_read_until(peer->socket, boost::asio::dynamic_buffer(peer->read), "\r\n\r\n", [this, peer](const auto& readEc, std::size_t) {
                if (!readEc)
                    boost::asio::async_write(peer->socket, boost::asio::buffer(m_start), [this, peer](const auto& writeEc, std::size_t) { fill(peer, writeEc); });
            });
            accept();
        });
    }

    void fill(const std::shared_ptr<Peer>& peer, const boost::system::error_code& ec)
    {
        if (ec || peer->sent > maxBytes)
            return;
        peer->sent += m_filler.size();
        boost::asio::async_write(peer->socket, boost::asio::buffer(m_filler), [this, peer](const auto& writeEc, std::size_t) { fill(peer, writeEc); });
    }

    std::string m_start;
    std::string m_filler;
    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace HickoryHollow::Fakes
