/** \file
 * Request smuggling: a request whose end two parsers could place differently is refused and its connection is closed, so
 * that the bytes after it are never read as another request.
 */
#include "http/HttpHandler.h"
#include "http/HttpServer.h"
#include "http/ResponseWriter.h"
#include "net/EventLoops.h"
#include "test/fakes/BrokenFields.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace HickoryHollow;

namespace {

constexpr unsigned short port = 7912;
const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n";

class TargetRecorder final : public HttpHandler {
public:
    Task<void> handle(const HttpRequest& request, ResponseWriter& writer) override
    {
        targets += request.target + " ";
        co_await writer.send(jsonResponse(200, "{}"));
    }

    std::string targets; // Read only after the server has stopped.
};

/** Sends the bytes to a server; returns its responses and the targets that its handler was called with. */
std::pair<std::string, std::string> exchange(const std::string& bytes)
{
    TargetRecorder handler;
    std::string answers;
    {
        EventLoops loops(1);
        const HttpServer server(loops, handler, { .address = "127.0.0.1:" + std::to_string(port) });
        std::thread thread([&loops] { loops.run(); });
        boost::asio::io_context io;
        boost::asio::ip::tcp::socket socket(io);
        socket.connect({ boost::asio::ip::address_v4::loopback(), port });
        boost::asio::write(socket, boost::asio::buffer(bytes));
        socket.shutdown(boost::asio::socket_base::shutdown_send);
        boost::system::error_code ec;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answers), ec);
        loops.stop();
        thread.join();
    }
    return { answers, handler.targets };
}

} // namespace

TEST_CASE("a request with ambiguous framing is refused and its connection is closed", "[http][loopback]")
{
    const auto* fields = GENERATE(
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 4\r\nContent-Length: 5\r\n",
        "Content-Length: 4\r\nContent-Length: 4\r\n",
        "Content-Length: 4, 4\r\n",
        "Content-Length: +4\r\n",
        "Content-Length: 0x4\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding : chunked\r\n",
        "Content-Length : 4\r\n",
        "Host: y\r\n");
    CAPTURE(fields);
    const auto [answers, targets] = exchange("POST /first HTTP/1.1\r\nHost: x\r\n" + std::string(fields) + "\r\n" + smuggled);
    CHECK(answers.starts_with("HTTP/1.1 400"));
    CHECK(answers.find("HTTP/1.1", 8) == std::string::npos);
    CHECK(targets.empty());
}

// As in answers: see test/error/odd_answers.cpp.
TEST_CASE("a request whose head has a broken field is refused", "[http][loopback]")
{
    for (const auto& it : Fakes::brokenFields()) {
        CAPTURE(it.what);
        const auto [answers, targets] = exchange("POST /first HTTP/1.1\r\nHost: x\r\n" + it.line + "\r\n\r\n" + smuggled);
        CHECK(answers.starts_with("HTTP/1.1 400"));
        CHECK(answers.find("HTTP/1.1", 8) == std::string::npos);
        CHECK(targets.empty());
    }
}

TEST_CASE("a request without a Host field is refused", "[http][loopback]")
{
    const auto [answers, targets] = exchange("GET /first HTTP/1.1\r\n\r\n" + smuggled);
    CHECK(answers.starts_with("HTTP/1.1 400"));
    CHECK(targets.empty());
}

TEST_CASE("a request with valid framing leaves the connection open", "[http][loopback]")
{
    const auto* request = GENERATE(
        "POST /first HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody",
        "POST /first HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "GET /first HTTP/1.1\r\nHost: x\r\n\r\n");
    CAPTURE(request);
    const auto [answers, targets] = exchange(request + std::string("GET /second HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
    CHECK(targets == "/first /second ");
}
