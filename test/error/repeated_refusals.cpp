/** \file
 * A faulty server writes an earlier refusal once more on a connection that it keeps, around another request that it runs. The caller
 * of that request is not told that it has not run, and no other server gets a request that must not run twice. The servers' own
 * records say what ran.
 */
#include "test/fakes/RequestBench.h"
#include "test/fakes/RoutedBench.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <set>
#include <thread>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

constexpr unsigned short port = 7931;

/** When the copy of the refusal is written. */
enum class Moment {
    BetweenExchanges,
    AfterRequestInPart, ///< The server has read the header and some of the body.
    BeforeAnswer, ///< The server has read the request and runs it.
};

struct Copy {
    Moment moment = Moment::BeforeAnswer;
    std::string status;
    std::string idField; ///< The field with the id of the earlier request, or nothing.
    bool hasLength = true;
    int times = 1;
};

/** Answers the first request on its only connection, then writes the copies around the second one, which it runs and answers. */
class FaultyServer {
public:
    explicit FaultyServer(Copy copy)
        : m_copy(std::move(copy))
        , m_acceptor(m_loop, { boost::asio::ip::address_v4::loopback(), port })
        , m_thread([this] { serve(); })
    {
    }
    ~FaultyServer() { m_thread.join(); }
    FaultyServer(const FaultyServer&) = delete;
    FaultyServer& operator=(const FaultyServer&) = delete;

    std::atomic<int> runs = 0; ///< Requests that began to run, of the second exchange on.
    std::atomic<bool> hasWrittenCopies = false;

private:
    using Socket = boost::asio::ip::tcp::socket;

    static std::string answer() { return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attemptId + "\r\nRunner-Seal: seal\r\nContent-Length: 2\r\n\r\nok"; }

    void writeCopies(Socket& socket)
    {
        boost::system::error_code ec;
        for (int i = 0; i < m_copy.times; ++i) {
            const auto body = m_copy.hasLength ? std::string("Content-Length: 0\r\n\r\n") : std::string("Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
            boost::asio::write(socket, boost::asio::buffer("HTTP/1.1 " + m_copy.status + " X\r\nNot-Executed: 1\r\n" + m_copy.idField + body), ec);
        }
        hasWrittenCopies = true;
    }

    /** Reads one request with a body of `bodyBytes`, as a whole or its first kilobytes only. Returns false if there is none. */
    static bool read(Socket& socket, std::size_t bodyBytes, bool isWhole)
    {
        boost::system::error_code ec;
        std::string bytes;
        const auto head = boost::asio::read_until(socket, boost::asio::dynamic_buffer(bytes), "\r\n\r\n", ec);
        if (!ec && isWhole && bytes.size() < head + bodyBytes)
            boost::asio::read(socket, boost::asio::dynamic_buffer(bytes), boost::asio::transfer_exactly(head + bodyBytes - bytes.size()), ec);
        return !ec;
    }

    void serve()
    {
        constexpr std::size_t bodyBytes = 4;
        boost::system::error_code ec;
        auto socket = m_acceptor.accept();
        if (!read(socket, bodyBytes, true))
            return;
        boost::asio::write(socket, boost::asio::buffer(answer()), ec);
        if (m_copy.moment == Moment::BetweenExchanges) {
            writeCopies(socket);
            // The kept connection is closed; a new one serves the second request.
            socket = m_acceptor.accept();
        }
        const auto isInPart = m_copy.moment == Moment::AfterRequestInPart;
        if (!read(socket, isInPart ? largeBodyBytes : bodyBytes, !isInPart))
            return;
        ++runs;
        if (m_copy.moment != Moment::BetweenExchanges)
            writeCopies(socket);
        boost::asio::write(socket, boost::asio::buffer(answer()), ec);
        // Keeps the connection until the router closes it or has its answer.
        std::string rest;
        boost::asio::read(socket, boost::asio::dynamic_buffer(rest), ec);
    }

    Copy m_copy;
    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;

public:
    static constexpr std::size_t largeBodyBytes = 100'000;
};

/** A bench whose requests to the service `orders` go to the faulty server by a real client, which keeps its connections. */
class KeptConnectionBench : public RoutedBench {
public:
    KeptConnectionBench()
        : m_client(makeUpstreamClient(loop, {}))
        , m_context { .loop = loop, .codec = codec, .routing = routing, .selector = selector, .promptGuard = promptGuard, .admissionQueue = admissionQueue, .streamOrigins = streamOrigins, .upstream = *m_client, .relayPeers = relayPeers, .random = random, .metrics = metrics, .retryOptions = { .ratio = 0.2, .slack = 10, .window = 10s } }
        , m_handler(m_context)
    {
        m_context.startedAt = monotonicNow() - 1h;
        // The other servers of the service leave, so that the faulty one is the only choice.
        for (const auto* address : { "10.0.0.4:1", "10.0.0.5:1" })
            selector.recordLeaving(BackendId(address), Incarnation(1));
        addServer("127.0.0.1:" + std::to_string(port), "orders");
    }

    HttpResponse ask(const HttpRequest& http)
    {
        writer.response.reset();
        auto isDone = false;
        asio::co_spawn(loop, m_handler.handle(http, writer), [&isDone](const auto&) { isDone = true; });
        loop.restart();
        while (!isDone)
            loop.run_one();
        return writer.response.value_or(HttpResponse { .status = 0, .fields = {}, .body = {} });
    }

private:
    std::unique_ptr<UpstreamClient> m_client;
    ForwardingContext m_context;
    RoutedHandler m_handler;
};

bool promisesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

Script refusal(unsigned status, const std::string& id)
{
    Script script;
    script.status = status;
    script.fields = { { .name = "Not-Executed", .value = "1" } };
    if (!id.empty())
        script.fields.push_back({ .name = "Attempt-Id", .value = id });
    script.chunks = { "" };
    return script;
}

} // namespace

// Guards against callers that were told 503 for a request that a server ran, because a copy of an earlier refusal preceded its answer.
TEST_CASE("a refusal that is written once more does not tell the next caller that its request has not run", "[routed][loopback][refusals]")
{
    Copy copy;
    copy.moment = GENERATE(Moment::BetweenExchanges, Moment::AfterRequestInPart, Moment::BeforeAnswer);
    copy.status = GENERATE(as<std::string> {}, "503", "429", "421", "400");
    copy.idField = GENERATE(as<std::string> {}, "", "Attempt-Id: earlier\r\n");
    copy.hasLength = GENERATE(true, false);
    copy.times = GENERATE(1, 2);
    CAPTURE(static_cast<int>(copy.moment), copy.status, copy.idField, copy.hasLength, copy.times);
    FaultyServer server(copy);
    HttpResponse answer;
    {
        KeptConnectionBench bench;
        REQUIRE(bench.ask(RoutedBench::request("/order/7")).status == 200);
        while (copy.moment == Moment::BetweenExchanges && !server.hasWrittenCopies)
            std::this_thread::yield();
        auto http = RoutedBench::request("/order/8");
        if (copy.moment == Moment::AfterRequestInPart)
            http.body = RequestBody(std::string(FaultyServer::largeBodyBytes, 'b'));
        answer = bench.ask(http);
    }
    CHECK(server.runs == 1);
    CHECK_FALSE(promisesNotRun(answer.status));
    // With an id the copy is told from the answer, which reaches the caller.
    if (!copy.idField.empty() || copy.moment == Moment::BetweenExchanges)
        CHECK(answer.status == 200);
}

TEST_CASE("a refusal without an id is believed on a new connection, and one with the request's id on any", "[routed][refusals]")
{
    const auto status = GENERATE(503U, 429U, 421U, 400U);
    const auto [id, isReused, isBelieved] = GENERATE(table<std::string, bool, bool>({ { "", false, true }, { "", true, false }, { attemptId, true, true }, { "other", true, false }, { "other", false, false } }));
    CAPTURE(status, id, isReused);
    RoutedBench bench;
    auto script = refusal(status, id);
    script.reusesConnection = isReused;
    bench.upstream.scripts = { script, RoutedBench::answer("second") };
    bench.run(RoutedBench::request("/order/7"));
    REQUIRE(bench.writer.response);
    CHECK(bench.upstream.requests.size() == (isBelieved ? 2 : 1));
    CHECK(bench.writer.response->status == (isBelieved ? 200 : 502));
}

TEST_CASE("a request that may run again goes to another server after a refusal that may belong to another request", "[routed][refusals]")
{
    RoutedBench bench;
    auto script = refusal(503, "");
    script.reusesConnection = true;
    bench.upstream.scripts = { script, RoutedBench::answer("second") };
    bench.run(RoutedBench::request("/look/7"));
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->body == "second");
}

TEST_CASE("on the interface for completions, a refusal without an id on a connection in use again leaves open whether the request ran", "[entry][refusals]")
{
    RequestBench bench;
    Script script;
    script.status = GENERATE(502U, 503U, 504U);
    script.saysNotRun = true;
    script.echoedAttemptId = GENERATE(as<std::string> {}, "", "7-999");
    script.reusesConnection = true;
    bench.upstream.otherwise = script;
    bench.run(RequestBench::order("order-1"));
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->fields.find("X-Hickory-Verdict") == "may-have-run");
    CHECK(bench.upstream.requests.size() == 1);
    REQUIRE(bench.ledger.completed.size() == 1);
    CHECK(bench.ledger.completed[0] == Verdict::MayHaveRun);
}
