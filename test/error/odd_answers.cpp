/** \file
 * What a server writes that is not an answer, or not a whole one: statuses out of range, interim responses, heads that no parser may
 * accept, and connections that are reset while a long request is still written.
 */
#include "base/Check.h"
#include "base/RouterError.h"
#include "ctl/OperatorClient.h"
#include "test/fakes/BrokenFields.h"
#include "test/fakes/CompletedCall.h"
#include "test/fakes/RawServer.h"
#include "test/fakes/SocketBench.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

using End = RawServer::End;

std::string answer(const std::string& body, const std::string& status = "200 OK", const std::string& fields = "")
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** One with the fields by which a server of the platform shows that it is its own. */
std::string sealed(const std::string& body, const std::string& status = "200 OK")
{
    return answer(body, status, "Attempt-Id: " + attemptId + "\r\nRunner-Seal: seal\r\n");
}

Task<void> call(UpstreamClient& client, const std::string& address, std::size_t bodyBytes, CompletedCall& outcome)
{
    const auto it = client.open(address);
    const HttpRequest request { .method = "POST", .target = "/", .fields = {}, .body = std::string(bodyBytes, 'x') };
    co_await makeCall(*it, request, outcome);
}

/** Makes calls to one server, one after the other. */
std::vector<CompletedCall> callsTo(const RawServer::Options& options, std::size_t n, std::size_t bodyBytes = 4)
{
    asio::io_context loop;
    RawServer server(loop, options);
    const auto client = makeUpstreamClient(loop, { .acceptsCloseDelimited = true });
    std::vector<CompletedCall> outcomes(n);
    asio::co_spawn(
        loop, [&]() -> Task<void> {
            for (auto& it : outcomes)
                co_await call(*client, server.address(), bodyBytes, it);
            loop.stop();
        },
        asio::detached);
    loop.run();
    return outcomes;
}

bool isMalformed(const CompletedCall& outcome)
{
    return outcome.ec == RouterError::UpstreamMalformed && outcome.verdict == Verdict::MayHaveRun && outcome.body.empty();
}

/** The bench with servers of the service `orders`. */
class OddBench : public SocketBench {
public:
    RawServer& add(RawServer::Options options)
    {
        servers.push_back(std::make_unique<RawServer>(loop, std::move(options)));
        addServer(servers.back()->address(), "orders");
        return *servers.back();
    }

    HttpResponse serve(const HttpRequest& http)
    {
        serveBySockets(http);
        for (const auto& it : servers)
            it->stop();
        return writer.response.value_or(HttpResponse { .status = 0, .fields = {}, .body = {} });
    }

    std::vector<std::unique_ptr<RawServer>> servers;
};

} // namespace

// Guards against answers of a server in trouble, with a status that HTTP does not have, that callers got as the server's answer.
TEST_CASE("a head whose status is not one of a final answer is malformed", "[http][mixed]")
{
    const auto* status = GENERATE("000 No", "001 x", "099 x", "101 Switching Protocols", "600 x", "999 x");
    const auto byteByByte = GENERATE(false, true);
    CAPTURE(status);
    SECTION("on a new connection")
    {
        const auto outcomes = callsTo({ .answers = { answer("odd", status), answer("next") }, .byteByByte = byteByByte }, 2);
        CHECK(isMalformed(outcomes[0]));
        CHECK_FALSE(outcomes[1].reusedConnection);
        CHECK(outcomes[1].body == "next");
    }
    SECTION("on a connection that has served another request")
    {
        const auto outcomes = callsTo({ .answers = { answer("first"), answer("odd", status), answer("next") }, .byteByByte = byteByByte }, 3);
        CHECK(outcomes[0].body == "first");
        CHECK(outcomes[1].reusedConnection);
        CHECK(isMalformed(outcomes[1]));
        CHECK_FALSE(outcomes[2].reusedConnection);
        CHECK(outcomes[2].body == "next");
    }
}

TEST_CASE("each status of a final answer is passed on", "[http]")
{
    const auto* status = GENERATE("200 OK", "204 No Content", "299 x", "302 Found", "404 Not Found", "451 x", "500 x", "599 x");
    const auto outcomes = callsTo({ .answers = { answer("", status) } }, 1);
    CHECK_FALSE(outcomes[0].ec);
    CHECK(outcomes[0].isComplete);
    CHECK(std::to_string(outcomes[0].status) == std::string(status).substr(0, 3));
}

// Guards against requests that ran for nothing: an interim response was taken for the answer, and the answer behind it was lost.
TEST_CASE("interim responses before an answer are skipped, with all that they say", "[http][mixed]")
{
    const std::string interim = GENERATE("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\nConnection: close\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nContent-Length: 7\r\n\r\n", "HTTP/1.1 199 x\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </b>\r\n\r\n");
    const auto byteByByte = GENERATE(false, true);
    CAPTURE(interim, byteByByte);
    const auto outcomes = callsTo({ .answers = { interim + answer("one"), interim + answer("two"), answer("three") }, .byteByByte = byteByByte }, 3);
    const std::vector<std::string> bodies { "one", "two", "three" };
    for (std::size_t i = 0; i < bodies.size(); ++i) {
        CHECK_FALSE(outcomes[i].ec);
        CHECK(outcomes[i].status == 200);
        CHECK(outcomes[i].body == bodies[i]);
        CHECK(outcomes[i].reusedConnection == (i > 0));
    }
}

TEST_CASE("interim responses without an answer, or without end, are no answer", "[http][mixed]")
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    SECTION("the server closes")
    {
        const auto outcomes = callsTo({ .answers = { interim }, .end = End::Close }, 1);
        CHECK(outcomes[0].ec == RouterError::UpstreamBroken);
        CHECK(outcomes[0].verdict == Verdict::MayHaveRun);
    }
    SECTION("more of them than a head may have bytes")
    {
        std::string many;
        for (int i = 0; i < 1000; ++i)
            many += interim;
        CHECK(isMalformed(callsTo({ .answers = { many + answer("late") } }, 1)[0]));
    }
    SECTION("an odd status behind one")
    {
        CHECK(isMalformed(callsTo({ .answers = { interim + answer("odd", "000 x") } }, 1)[0]));
    }
}

// None is passed on in part.
TEST_CASE("a head with a broken field is malformed", "[http][mixed]")
{
    for (const auto& it : brokenFields()) {
        for (const auto* place : { "first", "last" }) {
            CAPTURE(it.what, place);
            const auto isFirst = std::string(place) == "first";
            const auto usual = it.line.find("Length") == std::string::npos ? std::string("Content-Length: 4\r\n") : std::string();
            const auto head = "HTTP/1.1 200 OK\r\n" + (isFirst ? it.line + "\r\n" + usual : usual + it.line + "\r\n") + "\r\nbody";
            CHECK(isMalformed(callsTo({ .answers = { head } }, 1)[0]));
        }
    }
}

TEST_CASE("a head with a broken status line is malformed", "[http][mixed]")
{
    using namespace std::string_literals;
    const auto line = GENERATE("HTTP/1.1 20 OK"s, "HTTP/1.1 2000 OK"s, "HTTP/1.1 -20 OK"s, "HTTP/1.1 2x0 OK"s, "HTTP/1.1  200 OK"s, "HTTP/1.1\t200 OK"s, "HTTP/2.0 200 OK"s, "HTTP/0.9 200 OK"s, "ICY 200 OK"s, " HTTP/1.1 200 OK"s, "HTTP/1.1 200 O\x01K"s, "200 OK"s, ""s);
    CAPTURE(line);
    CHECK(isMalformed(callsTo({ .answers = { line + "\r\nContent-Length: 4\r\n\r\nbody" } }, 1)[0]));
}

TEST_CASE("a head with an unusual but valid field is passed on", "[http]")
{
    const auto* line = GENERATE("Name:x", "Name:  x \t", "Name: a\tb", "Name: \xc3\xa9", "Name:", "!#$%&'*+-.^_`|~09: x");
    const auto outcomes = callsTo({ .answers = { answer("body", "200 OK", std::string(line) + "\r\n") } }, 1);
    CAPTURE(line);
    CHECK(outcomes[0].body == "body");
    CHECK(outcomes[0].isComplete);
}

// Guards against a part of an answer that looked whole: the reset came while a long request was still written, and the writer took the
// error, so that the reader saw an orderly end.
TEST_CASE("an answer without a length that is reset while its request is written is not complete", "[http][mixed]")
{
    constexpr std::size_t longBody = 4UL << 20U;
    const Duration endAfter = GENERATE(as<Duration> {}, 0ms, 1ms, 5ms, 30ms);
    CAPTURE(endAfter.count());
    for (int i = 0; i < 8; ++i) {
        const auto outcomes = callsTo({ .answers = { "HTTP/1.1 200 OK\r\n\r\npart" }, .end = End::Reset, .endAfter = endAfter }, 1, longBody);
        CHECK(outcomes[0].ec == RouterError::UpstreamBroken);
        CHECK_FALSE(outcomes[0].isComplete);
    }
}

TEST_CASE("an answer that ends in an orderly way while its request is written is complete", "[http]")
{
    constexpr std::size_t longBody = 4UL << 20U;
    const Duration endAfter = GENERATE(as<Duration> {}, 0ms, 5ms);
    const auto unframed = callsTo({ .answers = { "HTTP/1.1 200 OK\r\n\r\nwhole" }, .end = End::HalfClose, .endAfter = endAfter }, 1, longBody);
    CHECK(unframed[0].isComplete);
    CHECK(unframed[0].body == "whole");
    // A length says that an answer is whole, however its connection ends.
    const auto framed = callsTo({ .answers = { answer("whole") }, .end = End::Reset, .endAfter = 50ms }, 1, longBody);
    CHECK(framed[0].isComplete);
    CHECK(framed[0].body == "whole");
}

TEST_CASE("callers of configured routes get no answer that is not the server's", "[routed][mixed]")
{
    const auto* status = GENERATE("000 No", "099 x", "101 Switching Protocols", "600 x", "999 x");
    CAPTURE(status);
    OddBench bench;
    auto& odd = bench.add({ .answers = { sealed("odd", status) } });
    SECTION("a request that runs once")
    {
        CHECK(bench.serve(RoutedBench::request("/order/7")).status == 502);
        CHECK(odd.requests() == 1);
    }
    SECTION("a request that may be repeated")
    {
        bench.add({ .answers = { sealed("right") } });
        const auto response = bench.serve(RoutedBench::request("/look/7"));
        CHECK(response.status == 200);
        CHECK(response.body == "right");
    }
}

TEST_CASE("callers of configured routes get the answer behind an interim response, and none of a reset upload", "[routed][mixed]")
{
    OddBench bench;
    SECTION("an interim response")
    {
        auto& server = bench.add({ .answers = { "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + sealed("right") } });
        const auto response = bench.serve(RoutedBench::request("/order/7"));
        CHECK(response.status == 200);
        CHECK(response.body == "right");
        CHECK(response.fields.count("Link") == 0);
        CHECK(server.requests() == 1);
    }
    SECTION("a reset")
    {
        bench.add({ .answers = { "HTTP/1.1 200 OK\r\nAttempt-Id: " + attemptId + "\r\nRunner-Seal: seal\r\n\r\npart" }, .end = End::Reset });
        auto http = RoutedBench::request("/order/7");
        http.body = std::string(4UL << 20U, 'x');
        CHECK(bench.serve(http).status == 502);
    }
}

TEST_CASE("the operators' client takes only a whole answer of HTTP", "[ctl][mixed]")
{
    const auto callWith = [](RawServer::Options options) {
        asio::io_context loop;
        RawServer server(loop, std::move(options));
        const OperatorClient client({ .address = server.address(), .key = "key" });
        std::thread thread([&loop] { loop.run(); });
        HttpResponse response { .status = 0, .fields = {}, .body = {} };
        try {
            response = client.call("POST", "/x", "body");
        } catch (const UserError&) {
            response.body = "no answer";
        }
        asio::post(loop, [&server] { server.stop(); });
        thread.join();
        return response;
    };
    const auto odd = GENERATE(answer("odd", "000 x"), answer("odd", "101 x"), answer("odd", "600 x"), std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"));
    CAPTURE(odd);
    const auto response = callWith({ .answers = { odd }, .end = End::Close });
    CHECK(response.status == 0);
    CHECK(response.body == "no answer");
    const auto late = callWith({ .answers = { "HTTP/1.1 100 Continue\r\n\r\n" + answer("right") } });
    CHECK(late.status == 200);
    CHECK(late.body == "right");
}
