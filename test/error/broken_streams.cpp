/** \file
 * Streams that the handler breaks off: no caller may take what it received for a complete answer, also where the answer has
 * neither a length nor chunks, as in HTTP/1.0.
 */
#include "http/HttpHandler.h"
#include "http/HttpServer.h"
#include "http/ResponseWriter.h"
#include "net/EventLoops.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace HickoryHollow;

namespace {

constexpr unsigned short port = 7915;

/** Sends one event of a stream, and then finishes the stream or breaks it off. */
class OneEventHandler final : public HttpHandler {
public:
    explicit OneEventHandler(bool finishes)
        : m_finishes(finishes)
    {
    }

    Task<void> handle(const HttpRequest&, ResponseWriter& writer) override
    {
        co_await writer.startStream(200, {});
        co_await writer.write("data: x\n\n");
        if (m_finishes)
            co_await writer.finishStream();
        else
            writer.abandon();
    }

private:
    bool m_finishes;
};

struct Received {
    std::string bytes;
    boost::system::error_code ec; ///< How the connection ended.
};

Received receive(bool finishes, const std::string& version)
{
    OneEventHandler handler(finishes);
    Received received;
    EventLoops loops(1);
    const HttpServer server(loops, handler, { .address = "127.0.0.1:" + std::to_string(port) });
    std::thread thread([&loops] { loops.run(); });
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    socket.connect({ boost::asio::ip::address_v4::loopback(), port });
    boost::asio::write(socket, boost::asio::buffer("GET / " + version + "\r\nHost: x\r\nConnection: close\r\n\r\n"));
    boost::asio::read(socket, boost::asio::dynamic_buffer(received.bytes), received.ec);
    loops.stop();
    thread.join();
    return received;
}

} // namespace

TEST_CASE("a broken stream without chunks ends with a reset, as its end would look complete", "[http][loopback]")
{
    const auto received = receive(false, "HTTP/1.0");
    CHECK(received.ec == boost::asio::error::connection_reset);
}

TEST_CASE("a complete stream without chunks ends with its connection", "[http][loopback]")
{
    const auto received = receive(true, "HTTP/1.0");
    CHECK(received.ec == boost::asio::error::eof);
    CHECK(received.bytes.ends_with("\r\n\r\ndata: x\n\n"));
}

TEST_CASE("a broken stream in chunks has no last chunk", "[http][loopback]")
{
    const auto received = receive(false, "HTTP/1.1");
    CHECK(received.bytes.find("data: x") != std::string::npos);
    CHECK_FALSE(received.bytes.ends_with("0\r\n\r\n"));
}
