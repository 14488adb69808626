/** \file
 * A server in trouble that answers each request with the start of an answer, and then with a byte now and then, without end. One
 * thread serves all its connections.
 */
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <thread>

namespace HickoryHollow::Fakes {

class SlowServer {
public:
    SlowServer(int port, std::string start, std::string piece)
        : m_start(std::move(start))
        , m_piece(std::move(piece))
        , m_acceptor(m_loop, { boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(port) })
    {
        accept();
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~SlowServer()
    {
        m_loop.stop();
        m_thread.join();
    }
    SlowServer(const SlowServer&) = delete;
    SlowServer& operator=(const SlowServer&) = delete;

    /** Number of requests that have got the start of an answer. */
    std::size_t starts() const { return m_starts; }

private:
    static constexpr std::chrono::milliseconds pause { 200 };

    struct Peer {
        explicit Peer(boost::asio::ip::tcp::socket&& accepted)
            : socket(std::move(accepted))
            , timer(socket.get_executor())
        {
        }
        boost::asio::ip::tcp::socket socket;
        boost::asio::steady_timer timer;
        std::string read;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code& ec, boost::asio::ip::tcp::socket socket) {
            if (ec)
                return;
            const auto peer = std::make_shared<Peer>(std::move(socket));
            boost::asio::async_read_until(peer->socket, boost::asio::dynamic_buffer(peer->read), "\r\n\r\n", [this, peer](const auto& readEc, std::size_t) {
                if (!readEc)
                    boost::asio::async_write(peer->socket, boost::asio::buffer(m_start), [this, peer](const auto& writeEc, std::size_t) {
                        ++m_starts;
                        trickle(peer, writeEc);
                    });
            });
            accept();
        });
    }

    void trickle(const std::shared_ptr<Peer>& peer, const boost::system::error_code& ec)
    {
        if (ec)
            return;
        peer->timer.expires_after(pause);
        peer->timer.async_wait([this, peer](const auto&) {
            boost::asio::async_write(peer->socket, boost::asio::buffer(m_piece), [this, peer](const auto& writeEc, std::size_t) { trickle(peer, writeEc); });
        });
    }

    std::string m_start;
    std::string m_piece;
    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<std::size_t> m_starts = 0;
    std::thread m_thread;
};

} // namespace HickoryHollow::Fakes
