/** \file
 * Unusual and faulty responses of backend servers: late responses to other requests, responses before the request is read,
 * bodies without a length, truncated responses.
 */
#include "net/EventLoops.h"
#include "test/fakes/CompletedCall.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

namespace {

constexpr unsigned short port = 7913;

std::string answer(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Accepts one connection and sends the next of `answers` for each request. Then closes it, with a reset if `resets`. */
class ScriptedServer {
public:
    ScriptedServer(std::vector<std::string> answers, bool resets)
        : m_acceptor(m_loop, { boost::asio::ip::address_v4::loopback(), port })
        , m_thread([this, answers = std::move(answers), resets] { serve(answers, resets); })
    {
    }
    ~ScriptedServer() { m_thread.join(); }
    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

private:
    void serve(const std::vector<std::string>& answers, bool resets)
    {
        auto socket = m_acceptor.accept();
        std::string read;
        for (const auto& it : answers) {
            boost::system::error_code ec;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(read), "\r\n\r\n", ec);
            read.clear();
            boost::asio::write(socket, boost::asio::buffer(it), ec);
        }
        // The socket is closed here, because its destructor would clear the linger option.
        if (resets)
            socket.set_option(boost::asio::socket_base::linger(true, 0));
        socket.close();
        m_acceptor.close();
    }

    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

Task<void> call(UpstreamClient& client, std::string id, std::string body, CompletedCall& outcome, std::string method = "POST")
{
    const auto it = client.open("127.0.0.1:" + std::to_string(port));
    it->skipMismatchedResponses([id](unsigned, const HttpFields& fields) { return !fields.find("Id").empty() && fields.find("Id") != id; });
    const HttpRequest request { .method = std::move(method), .target = "/", .fields = {}, .body = std::move(body) };
    co_await makeCall(*it, request, outcome);
}

/** Makes one call for each id with the same client, one after the other. */
std::vector<CompletedCall> calls(const std::vector<std::string>& ids, std::vector<std::string> answers, bool resets = false, std::size_t bodyBytes = 4)
{
    const ScriptedServer server(std::move(answers), resets);
    boost::asio::io_context loop;
    const auto client = makeUpstreamClient(loop, { .acceptsCloseDelimited = true });
    std::vector<CompletedCall> outcomes(ids.size());
    asio::co_spawn(
        loop, [&]() -> Task<void> {
            for (std::size_t i = 0; i < ids.size(); ++i)
                co_await call(*client, ids[i], std::string(bodyBytes, 'x'), outcomes[i]);
        },
        asio::detached);
    loop.run();
    return outcomes;
}

} // namespace

TEST_CASE("a late response to another request is skipped", "[http][loopback]")
{
    const auto outcomes = calls({ "1", "2" }, { answer("1", "one"), answer("1", "one again") + answer("2", "two") });
    CHECK(outcomes[0].body == "one");
    CHECK(outcomes[1].reusedConnection);
    CHECK(outcomes[1].body == "two");
}

TEST_CASE("a connection that sent bytes without a request is not reused", "[http][loopback]")
{
    // The second response arrives with the first, before there is a request for it.
    const ScriptedServer server({ answer("1", "one") + answer("1", "extra") }, false);
    boost::asio::io_context loop;
    const auto client = makeUpstreamClient(loop, {});
    CompletedCall first;
    asio::co_spawn(loop, call(*client, "1", "body", first), asio::detached);
    loop.run();
    CHECK(first.body == "one");
    loop.restart();
    CompletedCall second;
    asio::co_spawn(loop, call(*client, "2", "body", second), asio::detached);
    loop.run();
    CHECK_FALSE(second.reusedConnection);
    CHECK(second.body != "extra");
}

TEST_CASE("a response that arrives before the server has read a long request is accepted", "[http][loopback]")
{
    constexpr std::size_t longBody = 8UL << 20U;
    const auto outcomes = calls({ "1" }, { answer("1", "early") }, false, longBody);
    CHECK(outcomes[0].status == 200);
    CHECK(outcomes[0].body == "early");
}

TEST_CASE("a body without a length is complete if its connection is closed, and incomplete if it is reset", "[http][loopback]")
{
    const std::string unframed = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody";
    const auto ended = calls({ "1" }, { unframed });
    CHECK(ended[0].isComplete);
    CHECK(ended[0].body == "body");
    const auto reset = calls({ "1" }, { unframed }, true);
    CAPTURE(reset[0].body, reset[0].ec.message());
    CHECK_FALSE(reset[0].isComplete);
}

TEST_CASE("a truncated body is incomplete", "[http][loopback]")
{
    const auto resets = GENERATE(false, true);
    const auto outcomes = calls({ "1" }, { "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf" }, resets);
    CHECK_FALSE(outcomes[0].isComplete);
    CHECK(outcomes[0].ec);
}

TEST_CASE("a response to HEAD has no body", "[http][loopback]")
{
    const ScriptedServer server({ "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\n" }, false);
    boost::asio::io_context loop;
    const auto client = makeUpstreamClient(loop, {});
    CompletedCall outcome;
    asio::co_spawn(loop, call(*client, "1", "", outcome, "HEAD"), asio::detached);
    loop.run();
    CHECK(outcome.isComplete);
    CHECK(outcome.body.empty());
}

TEST_CASE("a connection beyond the limit on idle connections is not reused", "[http][loopback]")
{
    const ScriptedServer server({ answer("1", "one") }, false);
    boost::asio::io_context loop;
    const auto client = makeUpstreamClient(loop, {});
    CompletedCall first;
    asio::co_spawn(loop, call(*client, "1", "body", first), asio::detached);
    loop.run();
    client->setMaxIdleConnections(0);
    loop.restart();
    CompletedCall second;
    asio::co_spawn(loop, call(*client, "2", "body", second), asio::detached);
    loop.run();
    CHECK(first.isComplete);
    CHECK_FALSE(second.reusedConnection);
}

TEST_CASE("a server that closes after any byte inside the head of its answer has not answered", "[http][loopback]")
{
    const std::string framing = GENERATE("Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n", "");
    const std::string status = GENERATE("200 OK", "204 No Content", "206 Partial Content", "500 Internal Server Error");
    const auto isKept = GENERATE(false, true);
    const auto head = "HTTP/1.1 " + status + "\r\nId: 2\r\nContent-Type: text/event-stream\r\n" + framing + "\r\n";
    CAPTURE(framing, status, isKept);
    for (std::size_t n = 0; n < head.size(); ++n) {
        CAPTURE(n);
        const auto cut = head.substr(0, n);
        const auto outcomes = isKept ? calls({ "1", "2" }, { answer("1", "one"), cut }) : calls({ "2" }, { cut });
        CHECK(outcomes.back().ec);
        CHECK_FALSE(outcomes.back().isComplete);
        CHECK(outcomes.back().body.empty());
    }
}
