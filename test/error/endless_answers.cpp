/** \file
 * A server in trouble that sends bytes which are no answer until the caller closes: in a header, in the framing of a body,
 * and in an answer to another request. The call ends with an error after a bounded number of bytes.
 */
#include "http/UpstreamClient.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace HickoryHollow;

namespace {

constexpr unsigned short port = 7914;
// What the client may read, with the buffers of both sockets.
constexpr std::size_t maxBytesSent = 16UL << 20U;
// A client that reads on without a bound ends the test here.
constexpr std::size_t bytesWithoutEnd = 256UL << 20U;

/** Accepts one connection, answers a request with `start`, and then sends `filler` until the connection is closed. */
class EndlessServer {
public:
    EndlessServer(std::string start, const std::string& filler)
        : m_acceptor(m_loop, { boost::asio::ip::address_v4::loopback(), port })
        , m_thread([this, start = std::move(start), filler] { serve(start, filler); })
    {
    }
    ~EndlessServer() { m_thread.join(); }
    EndlessServer(const EndlessServer&) = delete;
    EndlessServer& operator=(const EndlessServer&) = delete;

    std::size_t bytesSent() const { return m_bytesSent; }

private:
    void serve(const std::string& start, const std::string& filler)
    {
        auto socket = m_acceptor.accept();
        std::string read;
        boost::system::error_code ec;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(read), "\r\n\r\n", ec);
        boost::asio::write(socket, boost::asio::buffer(start), ec);
        while (!ec && m_bytesSent < bytesWithoutEnd)
            m_bytesSent += boost::asio::write(socket, boost::asio::buffer(filler), ec);
    }

    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<std::size_t> m_bytesSent = 0;
    std::thread m_thread;
};

Task<void> call(UpstreamClient& client, std::error_code& ec)
{
    const auto it = client.open("127.0.0.1:" + std::to_string(port));
    it->skipMismatchedResponses([](unsigned, const HttpFields& fields) { return fields.find("Id") == "other"; });
    const HttpRequest request { .method = "GET", .target = "/", .fields = {}, .body = {} };
    const auto head = co_await it->begin(request);
    ec = head.ec;
    for (auto isLast = false; !ec && !isLast;) {
        const auto chunk = co_await it->readChunk();
        ec = chunk.ec;
        isLast = chunk.isLast;
    }
}

std::string repeated(const std::string& text)
{
    std::string filler;
    while (filler.size() < 16384)
        filler += text;
    return filler;
}

/**
 * A line that begins with the second character of its field and is followed by the first one of the next, so that each read of the
 * client, which has room for this many bytes or a multiple, ends one character into a line: then the parser takes the line before.
 */
std::string lineOf(std::string start)
{
    constexpr std::size_t lineBytes = 512;
    start.resize(lineBytes - 3, 'x');
    return start + "\r\nX";
}

} // namespace

TEST_CASE("bytes without end that are no answer end the call with an error", "[http][loopback]")
{
    struct Case {
        std::string name, start, filler;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const auto it = GENERATE_COPY(values<Case>({
        { "no status line", "", repeated("x") },
        { "zero bytes", "", std::string(16384, '\0') },
        { "a header field", ok + "X: ", repeated("x") },
        { "header fields", ok, repeated("X-Field: value\r\n") },
        { "a chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n", repeated("0") },
        { "a chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n5;x=", repeated("x") },
        { "trailer fields", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", repeated("X-Field: value\r\n") },
        { "header fields, a line at a time", lineOf("HTTP/1.1 200 OK\r\nX: "), lineOf(": ") },
        { "trailer fields, a line at a time", lineOf(ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX: "), lineOf(": ") },
        { "another request's answer", ok + "Id: other\r\nContent-Length: 9999999999\r\n\r\n", repeated("x") },
        { "another request's chunks", ok + "Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", repeated("4\r\nbody\r\n") },
    }));
    CAPTURE(it.name);
    std::error_code ec;
    EndlessServer server(it.start, it.filler);
    {
        boost::asio::io_context loop;
        const auto client = makeUpstreamClient(loop, { .acceptsCloseDelimited = true });
        asio::co_spawn(loop, call(*client, ec), asio::detached);
        loop.run();
    }
    CHECK(ec);
    CHECK(server.bytesSent() <= maxBytesSent);
}
