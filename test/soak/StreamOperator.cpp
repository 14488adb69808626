#include "soak/StreamOperator.h"

#include "soak/Backend.h"
#include "soak/BlockingHttpClient.h"
#include "soak/StreamCallers.h"

#include <fmt/format.h>
#include <stdexcept>

namespace HickoryHollow::Soak {

namespace {

using namespace std::chrono_literals;

constexpr unsigned ok = 200;
constexpr auto operatorTimeout = 1s;
constexpr int firstTries = 300;
constexpr int triesPerChange = 4;
constexpr auto retryPause = 100ms;
constexpr std::uint64_t shortestInterval = 50; // In milliseconds, within a series.
constexpr std::uint64_t intervalRange = 350;
constexpr std::uint64_t shortestCalm = 1500; // Between two series.
constexpr std::uint64_t calmRange = 3000;
constexpr std::uint64_t maxSeries = 10;
constexpr std::uint64_t timeoutRange = 6000;
constexpr int manyRoutes = 600;

std::string route(const std::string& name, const std::string& prefix, const std::string& type, std::uint64_t timeout, const std::string& more)
{
    return fmt::format(R"({{"name":"{}","host":"h.example","path-prefix":"{}","type":"{}","timeout-ms":{},"slo-ms":500,"priority":1,"public":false,{}}})", name, prefix, type, timeout, more);
}

} // namespace

StreamOperator::StreamOperator(const Deployment& deployment, GuaranteeChecker& checker, StreamLedger& ledger, std::uint64_t seed)
    : m_deployment(deployment)
    , m_checker(checker)
    , m_ledger(ledger)
    , m_random(seed)
{
    change(firstTries);
    if (m_acknowledged == 0)
        throw std::runtime_error("no state instance acknowledged the first configuration");
    m_thread = std::thread([this] { run(); });
}

StreamOperator::~StreamOperator()
{
    m_isStopping = true;
    m_thread.join();
}

std::string StreamOperator::summary() const
{
    return fmt::format("configurations: {} of {} acknowledged", m_acknowledged.load(), m_sent.load());
}

void StreamOperator::run()
{
    while (!m_isStopping) {
        const auto series = 2 + m_random.below(maxSeries);
        for (std::uint64_t i = 0; i < series && !m_isStopping; ++i) {
            change(triesPerChange);
            std::this_thread::sleep_for(std::chrono::milliseconds(shortestInterval + m_random.below(intervalRange)));
        }
        const auto calm = Clock::now() + std::chrono::milliseconds(shortestCalm + m_random.below(calmRange));
        while (!m_isStopping && Clock::now() < calm)
            std::this_thread::sleep_for(10ms);
    }
}

void StreamOperator::change(int tries)
{
    m_version += 1 + m_random.below(3);
    const auto text = nextConfiguration();
    ++m_sent;
    const auto sentAt = Clock::now();
    for (int i = 0; i < tries; ++i) {
        const auto state = static_cast<int>(m_random.below(static_cast<std::uint64_t>(m_deployment.options().states)));
        BlockingHttpClient client(m_deployment.controlAddress(state), operatorTimeout);
        const auto answer = client.call("POST", "/config/replace", { { "Host", "control" }, { "Content-Type", "application/json" } }, text);
        if (answer.status >= 400 && answer.status < 500)
            m_checker.recordViolation("valid configurations are not refused", fmt::format("version {} got status {}: {}", m_version, answer.status, answer.body));
        if (answer.status == ok) {
            ++m_acknowledged;
            break;
        }
        std::this_thread::sleep_for(retryPause);
    }
    m_ledger.recordConfiguration(sentAt, Clock::now());
}

std::string StreamOperator::nextConfiguration()
{
    const auto timeout = [this] { return static_cast<std::uint64_t>(shortestStreamTimeout.count()) + m_random.below(timeoutRange); };
    const auto side = 1 + m_random.below(40);
    const auto streams = [&](const char* name, const std::string& prefix, int attempts) {
        return route(name, prefix, "streaming", timeout(), fmt::format(R"("split":[{{"service":"{}","weight":{}}},{{"service":"{}","weight":{}}}],"max-attempts":{},"sticky":true,"resumable":true,"itl-target-ms":300)", mainService, 100 - side, sideService, side, attempts));
    };
    auto routes = streams("two", twoAttemptsPrefix, 2) + ',' + streams("three", threeAttemptsPrefix, 3);
    const auto hasOther = m_random.below(2) == 0;
    const auto others = m_random.below(4) == 0 ? manyRoutes : static_cast<int>(m_random.below(20));
    for (int i = 0; i < others; ++i)
        routes += ',' + route(fmt::format("more-{}", i), fmt::format("/more-{}/", i), "safe", 1000 + m_random.below(timeoutRange), fmt::format(R"("service":"{}","max-attempts":2)", hasOther && i % 2 == 0 ? "other" : mainService));
    const auto service = [this](const std::string& name) { return fmt::format(R"({{"name":"{}","max-conns":{}}})", name, 60 + m_random.below(200)); };
    return fmt::format(R"({{"version":{},"routes":[{}],"services":[{},{}{}],"tenants":[{{"name":"steady","api-keys":["{}"]}}]}})", m_version, routes, service(mainService), service(sideService), hasOther ? ',' + service("other") : "", permanentKey);
}

} // namespace HickoryHollow::Soak
