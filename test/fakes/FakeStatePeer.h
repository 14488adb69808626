/** \file
 * A state instance, as far as another one sees it on their links, that says of streams what a test tells it to. It never votes.
 */
#pragma once

#include "links/Link.h"
#include "net/Listener.h"
#include "placement/StreamOrigins.h"
#include "wire/Signed.h"
#include "wire/gen/hickoryhollow_types.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>

namespace HickoryHollow::Fakes {

class FakeStatePeer {
public:
    enum class Mode {
        Silent, ///< Answers no question about a stream.
        Denying, ///< Does not know the stream's version.
        Naming, ///< Names the version that say() was given.
    };

    /** Joins the state instance that listens for links on `state`; returns once that one has dialled `listen`. */
    FakeStatePeer(const std::string& state, const std::string& listen)
    {
        asio::co_spawn(m_loop, acceptLoop(openListener(m_loop, listen)), asio::detached);
        asio::co_spawn(m_loop, join(state, listen), asio::detached);
        m_thread = std::thread([this] { m_loop.run(); });
        m_joined.get_future().wait();
    }
    ~FakeStatePeer()
    {
        m_loop.stop();
        m_thread.join();
    }
    FakeStatePeer(const FakeStatePeer&) = delete;
    FakeStatePeer& operator=(const FakeStatePeer&) = delete;

    void say(Mode mode, VersionId version = VersionId(0))
    {
        const std::lock_guard lock(m_mutex);
        m_mode = mode;
        m_version = version;
    }

    /** Asks the state instance for the version of a stream; nothing if it says that it does not know it. Throws if it says nothing. */
    std::optional<VersionId> ask(StreamId stream, const ServiceId& service)
    {
        std::future<std::optional<VersionId>> answer;
        std::int64_t id = 0;
        {
            const std::lock_guard lock(m_mutex);
            m_answer = {};
            answer = m_answer.get_future();
            id = ++m_lastQuery;
        }
        asio::post(m_loop, [this, stream, service, id] {
            Wire::StreamOriginQuery query;
            query.id = id;
            query.stream = toSigned(stream.value());
            query.serviceName = service.value();
            Wire::LinkMessage message;
            message.__set_streamOriginQuery(query);
            m_toState->send(message);
        });
        if (answer.wait_for(std::chrono::seconds(5)) != std::future_status::ready)
            throw std::runtime_error("question about a stream not answered in 5 s");
        return answer.get();
    }

private:
    Task<void> join(std::string state, std::string listen)
    {
        constexpr Duration dialTimeout = std::chrono::seconds(5);
        co_await dialLink(m_loop, state, dialTimeout, {}, m_toState);
        if (!m_toState)
            co_return;
        m_toState->start([](const auto&) {}, [] {});
        Wire::LinkHello hello;
        hello.instance = "peer";
        hello.listen = listen;
        hello.failureDomain = "b";
        hello.incarnation = 1;
        Wire::LinkMessage message;
        message.__set_hello(hello);
        m_toState->send(message);
    }

    Task<void> acceptLoop(Acceptor acceptor)
    {
        for (;;) {
            auto [ec, socket] = co_await acceptor.async_accept(asTuple);
            if (ec)
                co_return;
            m_fromState = std::make_shared<Link>(std::move(socket), LinkOptions {});
            m_fromState->start([this](const auto& message) { handleMessage(message); }, [] {});
        }
    }

    void handleMessage(const Wire::LinkMessage& message)
    {
        if (message.__isset.hello && !std::exchange(m_hasJoined, true))
            m_joined.set_value();
        if (message.__isset.streamOriginReply) {
            const std::lock_guard lock(m_mutex);
            const auto& reply = message.streamOriginReply;
            if (reply.id == m_lastQuery)
                m_answer.set_value(reply.__isset.version ? std::optional(VersionId(toUnsigned(reply.version))) : std::nullopt);
        }
        if (!message.__isset.streamOriginQuery)
            return;
        const std::lock_guard lock(m_mutex);
        if (m_mode == Mode::Silent)
            return;
        Wire::StreamOriginReply reply;
        reply.id = message.streamOriginQuery.id;
        if (m_mode == Mode::Naming)
            reply.__set_version(toSigned(m_version.value()));
        Wire::LinkMessage answer;
        answer.__set_streamOriginReply(reply);
        m_toState->send(answer);
    }

    asio::io_context m_loop { 1 };
    std::shared_ptr<Link> m_toState; // Dialled here; carries the answers.
    std::shared_ptr<Link> m_fromState; // Dialled by the state instance; carries its questions.
    bool m_hasJoined = false;
    std::promise<void> m_joined;
    std::mutex m_mutex;
    Mode m_mode = Mode::Silent; // Guarded by m_mutex.
    VersionId m_version; // Guarded by m_mutex.
    std::int64_t m_lastQuery = 0; // Guarded by m_mutex.
    std::promise<std::optional<VersionId>> m_answer; // Of the last question. Guarded by m_mutex.
    std::thread m_thread;
};

} // namespace HickoryHollow::Fakes
