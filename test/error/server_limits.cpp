/** \file
 * A server that names the requests a second that it takes from all instances together: one entry instance alone, and several
 * with a state instance and servers on loopback.
 */
#include "http/ResponseWriter.h"
#include "test/fakes/LoopbackDeployment.h"
#include "test/fakes/RoutedBench.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <mutex>

using namespace HickoryHollow;
using namespace HickoryHollow::Fakes;
using namespace std::chrono_literals;

namespace {

constexpr int firstPort = 7970;
constexpr int servers = 3;
constexpr double namedLimit = 2; // Requests a second of the first server.
constexpr Duration settlingTime = 3s; // `contact-ms` of the smaller deployments.
constexpr Duration window = 4s;
// What the users' rule allows in a window.
constexpr double maxInWindow = 1.5 * namedLimit * 4 + 5;

const std::string configuration = R"({"version":3,"routes":[{"name":"t","host":"h.example","path-prefix":"/t/","type":"safe","timeout-ms":5000,"slo-ms":1000,"service":"s","public":false,"max-attempts":2}],
"services":[{"name":"s"}],"tenants":[{"name":"w","api-keys":["good-key"]}]})";

/** Answers every request, with its limit if it has one, and records when each came. */
class LimitedServer final : public HttpHandler {
public:
    explicit LimitedServer(std::string limit)
        : m_limit(std::move(limit))
    {
    }

    Task<void> handle(const HttpRequest& request, ResponseWriter& writer) override
    {
        {
            const std::lock_guard guard(m_mutex);
            m_arrivals.push_back(monotonicNow());
        }
        HttpResponse response;
        response.status = 200;
        response.fields = { { .name = "Attempt-Id", .value = std::string(request.fields.find("Attempt-Id")) }, { .name = "Runner-Seal", .value = "seal" } };
        if (!m_limit.empty())
            response.fields.add("Server-Limit", m_limit);
        response.body = "x";
        co_await writer.send(std::move(response));
    }

    std::vector<TimePoint> arrivals() const
    {
        const std::lock_guard guard(m_mutex);
        return m_arrivals;
    }

private:
    std::string m_limit;
    mutable std::mutex m_mutex;
    std::vector<TimePoint> m_arrivals;
};

/** Largest number of arrivals in any window that begins later than `settlingTime` after the first arrival. */
std::size_t mostInWindow(const std::vector<TimePoint>& arrivals)
{
    std::size_t most = 0;
    for (auto it = arrivals.begin(); it != arrivals.end(); ++it) {
        if (*it >= arrivals.front() + settlingTime)
            most = std::max(most, static_cast<std::size_t>(std::upper_bound(it, arrivals.end(), *it + window) - it));
    }
    return most;
}

} // namespace

TEST_CASE("servers that name a limit of requests a second do not get a burst beyond it", "[routed]")
{
    RoutedBench bench;
    auto stream = RoutedBench::answer("id: 1\ndata: x\n\n");
    stream.fields.push_back({ .name = "Content-Type", .value = "text/event-stream" });
    auto broken = RoutedBench::answer("a");
    broken.bodyError = make_error_code(RouterError::UpstreamBroken);
    const auto answer = GENERATE_COPY(RoutedBench::answer("a"), RoutedBench::answer(""), RoutedBench::answer("a", 500), RoutedBench::answer("a", 404), RoutedBench::rejection(), stream, broken);
    const auto path = GENERATE(std::string("/order/7"), std::string("/look/7"), std::string("/chat/7"), std::string("/draft/7"));
    CAPTURE(path);
    bench.upstream.otherwise = RoutedBench::withField(answer, "Server-Limit", "1");
    for (int i = 0; i < 40; ++i)
        bench.runAgain(RoutedBench::request(path, "good-key", "60")); // A short wait for a permit.
    // What the rule allows each of the two or three servers in 4 s.
    CHECK(bench.upstream.addresses.size() <= std::size_t { 22 });
}

TEST_CASE("a request that finds no permit at the only servers is refused as not run, with the time until one can be expected", "[routed]")
{
    RoutedBench bench;
    bench.upstream.otherwise = RoutedBench::withField(RoutedBench::answer("a"), "Server-Limit", "0.5");
    for (int i = 0; i < 3; ++i)
        bench.runAgain(RoutedBench::request("/look/7", "good-key", "200"));
    REQUIRE(bench.upstream.addresses.size() == 2);
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->status == 503);
    CHECK(std::stod(std::string(bench.writer.response->fields.find("Retry-After"))) >= 2);
}

TEST_CASE("a request is not sent to a server that names a limit while the request waits for a connection", "[routed]")
{
    RoutedBench bench;
    auto slow = RoutedBench::answer("too late");
    slow.beforeSending = [&bench] { bench.selector.recordLimit(BackendId(bench.upstream.addresses.back()), Incarnation(1), RequestRate(1000), monotonicNow(), monotonicNow()); };
    bench.upstream.scripts = { slow, RoutedBench::answer("elsewhere") };
    bench.run(RoutedBench::request("/order/7"));
    REQUIRE(bench.writer.response);
    CHECK(bench.writer.response->body == "elsewhere");
    CHECK(bench.upstream.requests.size() == 1);
}

TEST_CASE("the requests of all entry instances together keep to the limit that a server names", "[platform][loopback]")
{
    LimitedServer limited(std::to_string(namedLimit));
    LimitedServer unlimited("");
    std::vector<HttpHandler*> handlers(servers, &unlimited);
    handlers[0] = &limited;
    const LoopbackDeployment deployment({ .name = "limits", .firstPort = firstPort, .configuration = configuration, .servers = handlers });
    const auto end = monotonicNow() + settlingTime + 2 * window;
    std::size_t refused = 0;
    for (int i = 0; monotonicNow() < end; ++i)
        refused += deployment.ask(i % 2, "/t/1", "").status == 200 ? 0 : 1;
    CHECK(refused == 0);
    const auto arrivals = limited.arrivals();
    REQUIRE(!arrivals.empty());
    CHECK(static_cast<double>(mostInWindow(arrivals)) <= maxInWindow);
}
