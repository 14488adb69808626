/** \file
 * A server on loopback that writes given bytes as its answers, with whatever is wrong in them. It runs on the event loop of its test.
 */
#pragma once

#include "base/Time.h"
#include "net/Task.h"
#include "net/Timer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

namespace HickoryHollow::Fakes {

class RawServer {
public:
    enum class End {
        Stay, ///< The connection stays open.
        Close, ///< In an orderly way, whatever is unread.
        HalfClose, ///< The server's side only; it reads on.
        Reset,
    };

    struct Options {
        std::vector<std::string> answers; ///< One for each request, over all connections. The last one goes on for those beyond.
        End end = End::Stay; ///< After the last of them.
        Duration endAfter {}; ///< Time between its bytes and that end.
        bool byteByByte = false;
    };

    RawServer(asio::io_context& loop, Options options)
        : m_state(std::make_shared<State>(loop, std::move(options)))
    {
        asio::co_spawn(loop, accept(m_state), asio::detached);
    }
    ~RawServer() { stop(); }
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_state->port); }
    std::size_t requests() const { return m_state->requests; }
    std::size_t connections() const { return m_state->sockets.size(); }
    /** Ends all that runs on the loop. */
    void stop()
    {
        boost::system::error_code ignored;
        m_state->acceptor.close(ignored);
        for (const auto& it : m_state->sockets)
            it->close(ignored);
    }

private:
    using Socket = asio::ip::tcp::socket;

    struct State {
        State(asio::io_context& ioContext, Options serverOptions)
            : loop(ioContext)
            , options(std::move(serverOptions))
            , acceptor(ioContext, { asio::ip::address_v4::loopback(), 0 })
            , port(acceptor.local_endpoint().port())
        {
        }

        asio::io_context& loop;
        Options options;
        asio::ip::tcp::acceptor acceptor;
        unsigned short port;
        std::vector<std::shared_ptr<Socket>> sockets;
        std::size_t requests = 0;
    };

    static Task<void> accept(std::shared_ptr<State> state)
    {
        for (;;) {
            const auto socket = std::make_shared<Socket>(state->loop);
            const auto [ec] = co_await state->acceptor.async_accept(*socket, asTuple);
            if (ec)
                co_return;
            state->sockets.push_back(socket);
            asio::co_spawn(state->loop, serve(state, socket), asio::detached);
        }
    }

    static Task<void> serve(std::shared_ptr<State> state, std::shared_ptr<Socket> socket)
    {
        std::string read;
        for (;;) {
            const auto [ec, n] = co_await asio::async_read_until(*socket, asio::dynamic_buffer(read), "\r\n\r\n", asTuple);
            if (ec)
                co_return;
            read.clear(); // Short bodies come with their header.
            const auto& answers = state->options.answers;
            const auto i = std::min(state->requests++, answers.size() - 1);
            const auto size = state->options.byteByByte ? std::size_t { 1 } : answers[i].size();
            for (std::size_t at = 0; at < answers[i].size(); at += size)
                co_await asio::async_write(*socket, asio::buffer(answers[i].data() + at, size), asTuple);
            if (i + 1 == answers.size() && state->options.end != End::Stay) {
                co_await end(*state, socket);
                co_return;
            }
        }
    }

    static Task<void> end(State& state, std::shared_ptr<Socket> socket)
    {
        boost::system::error_code ignored;
        if (state.options.endAfter > Duration()) {
            Timer pause(state.loop.get_executor(), state.options.endAfter);
            co_await pause.async_wait(asTuple);
        }
        if (state.options.end == End::HalfClose) {
            socket->shutdown(asio::socket_base::shutdown_send, ignored);
            std::string rest;
            for (boost::system::error_code ec; !ec; rest.clear()) {
                const auto [readEc, n] = co_await socket->async_read_some(asio::dynamic_buffer(rest).prepare(65536), asTuple);
                ec = readEc;
            }
            co_return;
        }
        if (state.options.end == End::Reset)
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }

    std::shared_ptr<State> m_state;
};

} // namespace HickoryHollow::Fakes
