/** \file
 * The end of a process while connections are open and requests in progress: what they use on the way out must still exist. A fault of this
 * kind ends the test program.
 */
#include "base/Digest.h"
#include "daemon/Daemon.h"
#include "http/ResponseWriter.h"
#include "test/fakes/LoopbackDeployment.h"
#include "test/standin/StandInEngine.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

namespace {

constexpr int serverPort = 7929;
constexpr int daemonPort = 7905; // Of four.
constexpr int firstPort = 8110;
constexpr const char* key = "end-key";

const std::string configuration = R"({"version":3,"routes":[{"name":"e","host":"h.example","path-prefix":"/e/","type":"streaming","timeout-ms":60000,"slo-ms":1000,"service":"s","public":false,"max-attempts":1},
{"name":"u","host":"h.example","path-prefix":"/u/","type":"unsafe","timeout-ms":60000,"slo-ms":1000,"service":"s","public":false,"max-attempts":1}],
"services":[{"name":"s"}],"tenants":[{"name":"w","api-keys":["good-key"]}]})";

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

/** Answers `short` paths at once, and others with a stream without end. */
class EndlessStream final : public HttpHandler {
public:
    Task<void> handle(const HttpRequest& request, ResponseWriter& writer) override
    {
        HttpFields fields { { .name = "Attempt-Id", .value = std::string(request.fields.find("Attempt-Id")) }, { .name = "Runner-Seal", .value = "seal" } };
        if (request.target.ends_with("short")) {
            HttpResponse response { .status = 200, .fields = fields, .body = "x" };
            co_await writer.send(std::move(response));
            co_return;
        }
        fields.add("Content-Type", "text/event-stream");
        co_await writer.startStream(200, fields);
        const auto event = "data: " + std::string(4000, 'x') + "\n\n";
        while (!co_await writer.write("id: " + std::to_string(written + 1) + "\n" + event))
            ++written;
        writer.abandon();
    }

    std::atomic<std::size_t> written = 0;
};

/** Returns once a stream stands still because its caller does not read: all loops on its way had many turns without progress. */
template <typename Progress, typename TakeTurn>
void awaitStandstill(Progress progress, TakeTurn takeTurn)
{
    constexpr int turnsWithoutProgress = 50;
    auto last = progress();
    for (int turn = 0; turn < turnsWithoutProgress; ++turn) {
        takeTurn();
        if (const auto n = progress(); std::exchange(last, n) != n)
            turn = 0;
    }
}

DaemonSettings daemonSettings(const std::filesystem::path& folder)
{
    std::filesystem::create_directories(folder);
    std::ofstream(folder / "inventory.ini") << "[service captions]\nmodels = m\n[workspace w]\nkey-sha256 = " << sha256Hex(key) << "\nclasses = chat\n";
    std::ofstream(folder / "rules.ini") << "[class chat]\ntier = 2\n";
    DaemonSettings settings;
    settings.instance = InstanceId("ends");
    settings.failureDomain = FailureDomainId("a");
    settings.threads = 1;
    settings.callerListen = localAddress(daemonPort);
    settings.backendListen = localAddress(daemonPort + 1);
    settings.operatorListen = localAddress(daemonPort + 2);
    settings.operatorKeySha256 = sha256Hex("operator");
    settings.inventoryFile = folder / "inventory.ini";
    settings.rulesFile = folder / "rules.ini";
    settings.drainTimeout = Duration(0);
    return settings;
}

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

TEST_CASE("a daemon that ends with a request in progress ends in order", "[daemon][loopback][drain]")
{
    const auto folder = std::filesystem::temp_directory_path() / ("hickory-end-" + std::to_string(::getpid()));
    EventLoops engineLoops(1);
    const StandInOptions options { .address = localAddress(daemonPort + 3), .service = "captions", .models = { "m" }, .failureDomain = "a", .tokenTime = std::chrono::microseconds(0), .announceTo = { localAddress(daemonPort + 1) } };
    StandInEngine engine(engineLoops.at(0), options);
    std::size_t cut = 0;
    {
        const HttpServer engineServer(engineLoops, engine, { .address = options.address });
        asio::co_spawn(engineLoops.at(0), engine.announceLoop(), asio::detached);
        std::thread engineThread([&] { engineLoops.run(); });
        Daemon daemon(daemonSettings(folder));
        std::thread daemonThread([&] { cut = daemon.run(); });

        const std::string body = R"({"model":"m","stream":true,"messages":[],"standin_tokens":2000000})";
        std::unique_ptr<Client> caller;
        do {
            caller = std::make_unique<Client>(daemonPort);
            caller->send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + std::string(key) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        } while (caller->readStart() != "HTTP/1.1 200"); // Until the daemon knows the engine.
        awaitStandstill([] { return call(daemonPort + 3, boost::beast::http::verb::get, "/executed", "").body; }, [] { call(daemonPort, boost::beast::http::verb::get, "/none", ""); });
        daemon.requestDrain();
        daemonThread.join();
        engineLoops.stop();
        engineThread.join();
    }
    std::filesystem::remove_all(folder);
    CHECK(cut == 1);
}

TEST_CASE("an entry instance that ends with a request in progress ends in order", "[platform][loopback][drain]")
{
    EndlessStream service;
    LoopbackDeployment deployment({ .name = "ends", .firstPort = firstPort, .configuration = configuration, .servers = { &service }, .entries = 1 });
    Client caller(deployment.entryPort(0));
    while (deployment.ask(0, "/u/short", "").status != 200)
        std::this_thread::yield();
    caller.send("POST /e/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id-1\r\nAuthorization: Bearer good-key\r\nContent-Length: 1\r\n\r\nb");
    REQUIRE(caller.readStart() == "HTTP/1.1 200");
    awaitStandstill([&] { return service.written.load(); }, [&] { deployment.ask(0, "/u/short", ""); });
    CHECK(deployment.stopEntry(0) == 1);
}
