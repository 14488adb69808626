/** \file
 * The end of a process while connections are open: what they use on the way out must still exist. A fault of this kind ends the test
 * program.
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

constexpr int serverPort = 7929;

std::string localAddress(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

class Client {
public:
    /** The socket holds little that was not read. */
    explicit Client(int port)
        : m_socket(m_loop, boost::asio::ip::tcp::v4())
    {
        m_socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
        m_socket.connect({ boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(port) });
    }

    void send(std::string_view bytes) { boost::asio::write(m_socket, boost::asio::buffer(bytes)); }
    /** Returns the first bytes of an answer. */
    std::string readStart()
    {
        std::string start(std::string_view("HTTP/1.1 200").size(), '\0');
        boost::system::error_code ec;
        start.resize(boost::asio::read(m_socket, boost::asio::buffer(start), ec));
        return start;
    }

private:
    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::socket m_socket;
};

class EmptyAnswers final : public HttpHandler {
public:
    Task<void> handle(const HttpRequest&, ResponseWriter& writer) override { co_await writer.send(jsonResponse(200, "{}")); }
};

} // namespace

// Guards against a list of waiting connections that kept those of the first loop after it was destroyed.
TEST_CASE("connections that wait for a request on several event loops end with their loops", "[http][loopback]")
{
    constexpr std::size_t clients = 64; // The kernel divides them among the loops.
    constexpr int rounds = 10;
    EmptyAnswers handler;
    for (int round = 0; round < rounds; ++round) {
        EventLoops loops(4);
        const HttpServer server(loops, handler, { .address = localAddress(serverPort) });
        std::thread thread([&loops] { loops.run(); });
        std::vector<std::unique_ptr<Client>> idle;
        for (std::size_t i = 0; i < clients; ++i) {
            idle.push_back(std::make_unique<Client>(serverPort));
            idle.back()->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
            CHECK(idle.back()->readStart() == "HTTP/1.1 200");
        }
        loops.stop();
        thread.join();
    }
}
