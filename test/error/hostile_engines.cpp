/** \file
 * Engines behind the completions interface that answer without end: the process lives, stays within its memory, and serves others.
 */
#include "base/Digest.h"
#include "soak/Process.h"
#include "test/fakes/EndlessServer.h"
#include "test/fakes/HostileCrowd.h"
#include "test/fakes/RunningInstance.h"

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

namespace {

constexpr int firstPort = 8050; // Of ten ports that no other test uses.
constexpr int callerPort = firstPort;
constexpr int backendPort = firstPort + 1;
constexpr int operatorPort = firstPort + 2;
constexpr int enginePort = firstPort + 3;
constexpr int serverPort = firstPort + 4;
// The memory setting, and what a process uses that serves nothing yet: code, libraries and the allocator's arenas.
constexpr std::size_t memoryMb = 64;
constexpr std::size_t maxResidentBytes = 84'000'000;
constexpr std::size_t callers = 48;

std::string address(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/** Answers each request on its port with a few bytes and closes the connection. */
class OrdinaryServer {
public:
    OrdinaryServer()
        : m_acceptor(m_loop, { boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(serverPort) })
        , m_thread([this] { serve(); })
    {
    }
    ~OrdinaryServer()
    {
        m_isStopped = true;
        RawSocket::dial(serverPort); // Ends the wait for a connection.
        m_thread.join();
    }
    OrdinaryServer(const OrdinaryServer&) = delete;
    OrdinaryServer& operator=(const OrdinaryServer&) = delete;

private:
    void serve()
    {
        while (!m_isStopped) {
            boost::system::error_code ec;
            auto socket = m_acceptor.accept();
            std::string read;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(read), "\r\n\r\n", ec);
            boost::asio::write(socket, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx")), ec);
        }
    }

    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_isStopped = false;
    std::thread m_thread;
};

/** An instance of `hickoryhollowd` with settings from files, the service of an engine without end, and that of an ordinary server. */
class CompletionsProcess {
public:
    CompletionsProcess()
        : m_folder(std::filesystem::temp_directory_path() / ("hickory-engines-" + std::to_string(::getpid())))
        , process(HICKORY_DAEMON, m_folder / "daemon.ini", m_folder / "daemon.log", {})
    {
        std::filesystem::create_directories(m_folder);
        std::ofstream(m_folder / "inventory.ini") << "[service captions]\nmodels = m\n[service stock]\nkind = plain\npath = /stock\n[workspace w]\nkey-sha256 = " << sha256Hex("good-key") << "\nclasses = chat\n";
        std::ofstream(m_folder / "rules.ini") << "[class chat]\ntier = 2\n";
        std::ofstream(m_folder / "daemon.ini") << "[instance]\nname = e\nfailure-domain = a\nthreads = 2\ninventory = " << (m_folder / "inventory.ini").string() << "\nrules = " << (m_folder / "rules.ini").string()
                                               << "\n[listen]\ncallers = " << address(callerPort) << "\nbackends = " << address(backendPort) << "\noperators = " << address(operatorPort) << "\n[keys]\noperator-sha256 = " << sha256Hex("operator") << "\n[limits]\nmemory-mb = " << memoryMb << "\n";
        process.start();
        announceEngine();
        REQUIRE(isServing());
    }
    ~CompletionsProcess()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }
    CompletionsProcess(const CompletionsProcess&) = delete;
    CompletionsProcess& operator=(const CompletionsProcess&) = delete;

    void announceEngine() { announce(R"("service":"captions","models":["m"])", enginePort); }

    /** Announces the ordinary server and sends it a request until that is answered; false if none of a long sequence was. */
    bool isServing()
    {
        announce(R"("service":"stock")", serverPort);
        return await([&] { return ask(callerPort, "/stock/1", "x") == 200; });
    }

    std::filesystem::path m_folder;
    Soak::Process process;

private:
    std::uint64_t m_announcements = 0;

    static unsigned ask(int port, const std::string& target, const std::string& body)
    {
        try {
            return call(port, boost::beast::http::verb::post, target, body, "good-key").status;
        } catch (const boost::system::system_error&) {
            return 0; // The connection was refused or reset.
        }
    }

    template <typename Condition>
    static bool await(Condition condition)
    {
        constexpr int maxTries = 20'000; // Below the number of local ports, which each try uses up for a while.
        for (int i = 0; i < maxTries; ++i) {
            if (condition())
                return true;
            std::this_thread::yield();
        }
        return false;
    }

    // The record of a server ends some seconds after its last announcement.
    void announce(const std::string& what, int port)
    {
        const auto text = R"({"address":")" + address(port) + R"(","incarnation":1,"sequence":)" + std::to_string(++m_announcements) + "," + what + R"(,"failure_domain":"a","slots":64})";
        REQUIRE(await([&] { return ask(backendPort, "/v1/backends/announce", text) == 200; }));
    }
};

std::string repeated(const std::string& text, std::size_t size = 65536)
{
    std::string filler;
    while (filler.size() < size)
        filler += text;
    return filler;
}

std::string request(const std::string& target, const std::string& body)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer good-key\r\nX-Hickory-Deadline-Ms: 4000\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against answers that are bounded one by one, but not together.
TEST_CASE("answers of engines without end leave the completions interface within its memory", "[hostile][loopback]")
{
    struct Case {
        std::string name, start, filler;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string json = ok + "Content-Type: application/json\r\n";
    const std::string stream = ok + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto million = repeated("0,", 2'000'000) + "0]";
    const auto it = GENERATE_COPY(values<Case>({
        { "a body of claimed gigabytes", json + "Content-Length: 9999999999\r\n\r\n", repeated("x") },
        { "chunks", json + "Transfer-Encoding: chunked\r\n\r\n", repeated("4\r\nbody\r\n") },
        { "a whole body of a million values", json + "Content-Length: " + std::to_string(1 + million.size()) + "\r\n\r\n[", million },
        { "one event", stream + "ffffffff\r\ndata: ", repeated("x") },
        { "comments", stream + "ffffffff\r\n", repeated(": x\n\n") },
        { "trailers", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", repeated("X-Field: value\r\n") },
    }));
    CAPTURE(it.name);
    EndlessServer engine(enginePort, it.start, it.filler);
    const OrdinaryServer ordinary;
    CompletionsProcess daemon;
    HostileCrowd crowd(callerPort, callers);
    crowd.flood(request("/v1/chat/completions", it.name == "one event" || it.name == "comments" ? R"({"model":"m","stream":true,"messages":[]})" : R"({"model":"m","messages":[]})"), "", 0);
    CHECK(daemon.isServing());
    crowd.awaitClose();
    CHECK(!daemon.process.hasExited());
    CHECK(daemon.process.peakResidentBytes() <= maxResidentBytes);
    crowd.leave();
    CHECK(daemon.isServing());
}
