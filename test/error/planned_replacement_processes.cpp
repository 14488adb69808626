/** \file
 * A state instance that is replaced as planned work, as processes on loopback: a second one starts, and the first one is stopped.
 */
#include "test/fakes/RunningInstance.h"

#include <catch2/catch.hpp>
#include <filesystem>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;

namespace {

namespace http = boost::beast::http;

constexpr int firstPort = 8160;
const std::string configuration = R"({"version":3,"routes":[],"services":[{"name":"s"}]})";

/** A state instance on ports of its own, with an empty data folder. */
class State {
public:
    State(int number, bool isFirstStart)
        : m_port(firstPort + 10 * number)
        , m_folder(std::filesystem::temp_directory_path() / ("hickory-replaced-" + std::to_string(::getpid()) + "-" + std::to_string(number)))
    {
        std::filesystem::create_directories(m_folder);
        const auto address = [this](int offset) { return "127.0.0." + std::to_string(m_port - firstPort + 1) + ":" + std::to_string(firstPort + offset); };
        m_instance = std::make_unique<RunningInstance>("[instance]\nname = s" + std::to_string(number) + "\nfailure-domain = a\ndata-folder = " + m_folder.string() + "\n[listen]\nlinks = " + address(0) + "\ncontrol = 127.0.0.1:" + std::to_string(controlPort()) + "\nmetrics = 127.0.0.1:" + std::to_string(metricsPort()) + "\n[membership]\nseeds = 127.0.0.1:" + std::to_string(firstPort + 1) + "\nseed-port = " + std::to_string(firstPort) + "\nfirst-start = " + (isFirstStart ? "true" : "false") + "\nbearable-losses = 0\n[bounds]\ndrain-s = 30\nkey-lease-ms = 5000\n", "-replaced-" + std::to_string(number) + ".ini");
    }
    ~State()
    {
        m_instance.reset();
        std::filesystem::remove_all(m_folder);
    }
    State(const State&) = delete;
    State& operator=(const State&) = delete;

    int controlPort() const { return m_port + 1; }
    int metricsPort() const { return m_port + 2; }
    void stop() { m_instance->stop(); }

    /** Returns once the metric has this value; the test's own time limit ends it otherwise. */
    void await(const std::string& metric, int value) const
    {
        const auto line = metric + " " + std::to_string(value) + "\n";
        while (call(metricsPort(), http::verb::get, "/metrics", "").body.find(line) == std::string::npos)
            std::this_thread::yield();
    }

private:
    int m_port;
    std::filesystem::path m_folder;
    std::unique_ptr<RunningInstance> m_instance;
};

} // namespace

// Guards against a configuration that nobody confirmed any more after its state instance had been replaced as planned work: the successor
// had the whole log and never got the vote.
TEST_CASE("a state instance that is stopped leaves its vote to its successor", "[platform][loopback]")
{
    State first(0, true);
    Answer submitted;
    for (int i = 0; i < 20 && submitted.status != 200; ++i)
        submitted = call(first.controlPort(), http::verb::post, "/config/replace", configuration);
    REQUIRE(submitted.status == 200);
    const State second(1, false);
    first.await("hickoryhollow_successors", 1);
    first.stop();
    second.await("hickoryhollow_voters", 1);
    // The stop of the first one ended after the second had confirmed that it leads alone.
    const auto read = call(second.controlPort(), http::verb::get, "/config/read", "");
    CHECK(read.status == 200);
    CHECK(read.body == configuration);
}
