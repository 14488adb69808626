/** \file
 * Replays servers that fail while their health checks are good against a fleet of entry instances that share the outcomes
 * of their calls: the fleet pays for the proof once, and a service whose calls fail now and then keeps its servers.
 */
#include "base/SeededRandom.h"
#include "node/UsageAggregator.h"
#include "placement/BackendSelector.h"

#include <catch2/catch.hpp>
#include <deque>
#include <functional>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

const ServiceId models("models");
const TimePoint start(1h);
constexpr Duration step = 10ms;
constexpr Duration reportDelay = 300ms; // Interval of an instance's reports, and the ticks of two state instances.

BackendId serverId(std::size_t number)
{
    return BackendId("10.0." + std::to_string(number / 200) + "." + std::to_string(number % 200) + ":1");
}

/** Entry instances that learn each other's recent calls after `reportDelay`. */
class Fleet {
public:
    struct Options {
        std::size_t instances = 1;
        std::size_t servers = 1;
        std::size_t requestsPerStep = 1;
        Duration answerTime = 3s; ///< A failure comes at once.
        bool hasPrompts = true; ///< The service runs model engines.
        bool sharesCalls = true; ///< The instances learn each other's recent calls.
        std::function<bool(std::size_t server, Duration sinceStart)> fails;
    };

    explicit Fleet(Options options)
        : m_options(std::move(options))
        , m_random(20261204)
    {
        for (std::size_t i = 0; i < m_options.instances; ++i) {
            m_selectors.push_back(std::make_unique<BackendSelector>(BackendSelector::Options { .ownDomain = FailureDomainId("a") }, m_random));
            for (std::size_t number = 0; number < m_options.servers; ++number) {
                BackendRecord record { .id = serverId(number), .incarnation = Incarnation(1), .sequence = 1, .service = models, .serverName = "s" };
                record.slots = 24;
                m_selectors.back()->merge(record);
            }
        }
        for (std::size_t number = 0; number < m_options.servers; ++number)
            m_numbers.emplace(serverId(number), number);
    }

    void run(Duration length)
    {
        for (const auto end = m_now + length; m_now < end; m_now += step) {
            for (std::size_t i = 0; i < m_options.requestsPerStep; ++i)
                request(*m_selectors[m_random.below(m_selectors.size())]);
            while (!m_awaitingFirstToken.empty() && m_awaitingFirstToken.front().endsAt <= m_now) {
                m_awaitingFirstToken.front().selector->recordFirstToken(m_awaitingFirstToken.front().call, m_now);
                m_awaitingFirstToken.pop_front();
            }
            while (!m_inProgress.empty() && m_inProgress.front().endsAt <= m_now) {
                m_inProgress.front().selector->endCall(m_inProgress.front().call, CallOutcome::Answered, m_now);
                m_inProgress.pop_front();
            }
            exchange();
        }
    }

    std::size_t failures() const { return m_failures; }
    std::size_t callsAt(std::size_t server) const { return m_calls.contains(server) ? m_calls.at(server) : 0; }
    void forgetCalls() { m_calls.clear(); }

private:
    struct InProgress {
        BackendSelector* selector;
        CallId call;
        TimePoint endsAt;
    };
    struct Report {
        TimePoint arrivesAt;
        std::map<BackendId, CallCounts> calls = {}; ///< Of all instances.
        std::map<BackendId, std::uint32_t> requests = {}; ///< Of all instances.
        std::vector<std::map<BackendId, ServerUsage>> usage = {}; ///< Of each instance.
    };

    void request(BackendSelector& selector)
    {
        PlacementRequest request { .service = models };
        if (m_options.hasPrompts)
            request.prompt = { .model = "m", .parts = { { .id = PromptPartId(++m_lastPrompt), .tokens = 1800 } }, .tokens = 1800 };
        const auto placement = selector.select(request, m_now);
        REQUIRE(placement);
        const auto call = selector.beginCall(*placement, request, m_now);
        const auto server = m_numbers.at(placement->backend);
        ++m_calls[server];
        if (m_options.fails(server, m_now - start)) {
            ++m_failures;
            selector.endCall(call, CallOutcome::ServerError, m_now);
        } else {
            m_awaitingFirstToken.push_back({ .selector = &selector, .call = call, .endsAt = m_now + m_options.answerTime / 6 });
            m_inProgress.push_back({ .selector = &selector, .call = call, .endsAt = m_now + m_options.answerTime });
        }
    }

    void exchange()
    {
        if ((m_now - start) % 100ms == Duration::zero()) {
            Report report { .arrivesAt = m_now + reportDelay };
            for (const auto& selector : m_selectors) {
                for (const auto& [id, counts] : selector->localCalls(m_now))
                    report.calls[id] += counts;
                report.usage.push_back(selector->localUsage());
                for (const auto& [id, usage] : report.usage.back())
                    report.requests[id] += usage.requests;
            }
            m_reports.push_back(std::move(report));
        }
        while (!m_reports.empty() && m_reports.front().arrivesAt <= m_now) {
            for (std::size_t i = 0; i < m_selectors.size(); ++i)
                apply(m_reports.front(), i);
            m_reports.pop_front();
        }
    }

    void apply(const Report& report, std::size_t instance)
    {
        auto& selector = *m_selectors[instance];
        const auto& own = report.usage[instance];
        selector.clearRemoteUsage();
        for (const auto& [id, requests] : report.requests) {
            const auto it = own.find(id);
            selector.setRemoteUsage(id, { .requests = requests - (it == own.end() ? 0 : it->second.requests) });
        }
        if (m_options.sharesCalls)
            selector.setFleetCalls(report.calls, static_cast<std::uint32_t>(m_selectors.size()), m_now);
    }

    Options m_options;
    SeededRandom m_random;
    std::vector<std::unique_ptr<BackendSelector>> m_selectors;
    std::map<BackendId, std::size_t> m_numbers;
    std::deque<InProgress> m_awaitingFirstToken; // By the time of the first token.
    std::deque<InProgress> m_inProgress; // By end, as all answers take the same time.
    std::deque<Report> m_reports; // By arrival.
    std::map<std::size_t, std::size_t> m_calls; // By server.
    std::size_t m_failures = 0;
    std::uint64_t m_lastPrompt = 0;
    TimePoint m_now = start;
};

} // namespace

TEST_CASE("a fleet of many instances pays for a failing server once", "[placement][load]")
{
    // 11 of 140 engines answer with errors for 5.5 s; a failing engine has no load, so it attracts requests.
    constexpr std::size_t failing = 11;
    const auto options = [](bool sharesCalls) {
        return Fleet::Options { .instances = 77, .servers = 140, .requestsPerStep = 5, .sharesCalls = sharesCalls, .fails = [](auto server, auto since) { return server < failing && since > 6s && since < 11500ms; } };
    };
    Fleet alone(options(false));
    alone.run(11500ms);
    Fleet fleet(options(true));
    fleet.run(11500ms);
    // Alone, each of 77 instances needs three failures at each engine, and again after each ejection.
    constexpr std::size_t learningAlone = 77UL * 3 * failing;
    CAPTURE(alone.failures());
    CHECK(fleet.failures() <= learningAlone / 10);
    CHECK(fleet.failures() < alone.failures());
    // The servers that recovered get their share again.
    fleet.run(20s);
    fleet.forgetCalls();
    fleet.run(5s);
    for (std::size_t server = 0; server < failing; ++server) {
        CAPTURE(server);
        CHECK(fleet.callsAt(server) >= 5UL * 500 / 140 / 2);
    }
}

TEST_CASE("one bad engine is out everywhere after a few failures of the fleet", "[placement][load]")
{
    // The goals are failures until the fleet is through with the engine, for 8 s in which it fails.
    struct Case {
        std::size_t instances, servers, requestsPerStep, mostFailures;
    };
    const auto it = GENERATE(Case { 77, 140, 5, 40 }, Case { 295, 320, 8, 60 });
    CAPTURE(it.instances);
    Fleet fleet({ .instances = it.instances, .servers = it.servers, .requestsPerStep = it.requestsPerStep, .fails = [](auto server, auto since) { return server == 0 && since > 4s && since < 12s; } });
    fleet.run(12s);
    CHECK(fleet.failures() > 0);
    CHECK(fleet.failures() < it.mostFailures);
}

TEST_CASE("a service that fails as a whole keeps most of its servers, and recovers at once", "[placement]")
{
    Fleet fleet({ .instances = 20, .servers = 9, .requestsPerStep = 1, .answerTime = 200ms, .fails = [](auto, auto since) { return since > 2s && since < 5s; } });
    fleet.run(5s);
    const auto failures = fleet.failures();
    fleet.forgetCalls();
    fleet.run(1s);
    CHECK(fleet.failures() == failures);
    std::size_t used = 0;
    for (std::size_t server = 0; server < 9; ++server)
        used += fleet.callsAt(server) > 0 ? 1 : 0;
    CHECK(used >= 6);
}

TEST_CASE("an instance without the others' reports ejects a failing server by its own calls", "[placement]")
{
    Fleet fleet({ .instances = 1, .servers = 9, .requestsPerStep = 1, .answerTime = 200ms, .sharesCalls = false, .fails = [](auto server, auto) { return server == 0; } });
    fleet.run(2s);
    CHECK(fleet.failures() < 10);
}

TEST_CASE("servers of a service whose calls fail now and then are not ejected for it", "[placement]")
{
    SeededRandom random(7);
    Fleet fleet({ .instances = 20, .servers = 5, .requestsPerStep = 2, .answerTime = 20ms, .hasPrompts = false, .fails = [&random](auto, auto) { return random.below(100) < 14; } });
    for (int i = 0; i < 20; ++i) {
        fleet.forgetCalls();
        fleet.run(1s);
        for (std::size_t server = 0; server < 5; ++server) {
            CAPTURE(i, server);
            CHECK(fleet.callsAt(server) > 0);
        }
    }
}

TEST_CASE("failures that one instance alone sees eject a server for no other, also while it is counted twice", "[placement]")
{
    // It has left one state instance for another, and its last report to the first has not expired.
    UsageReport report;
    report.entryInstances = 1;
    report.backends = { { .backendHash = 1, .calls = { .answers = 0, .failures = 20, .witnesses = 1 } } };
    UsageAggregator usage;
    usage.set("state-a", report, start);
    usage.set("state-b", report, start);
    const auto twice = usage.sum({}).backends.front().calls;
    REQUIRE(twice.witnesses == 2);

    SeededRandom random(1);
    FleetEjection ejection(random);
    std::map<BackendId, CallCounts> calls;
    for (std::size_t number = 0; number < 9; ++number)
        calls[serverId(number)] = {};
    calls[serverId(0)] = twice;
    for (auto now = start; now < start + 2s; now += 100ms)
        ejection.update(calls, 8, now);
    CHECK_FALSE(ejection.isEjected(serverId(0), start + 2s));
    calls[serverId(0)].witnesses = 3;
    ejection.update(calls, 8, start + 2s);
    CHECK(ejection.isEjected(serverId(0), start + 2s));
}

TEST_CASE("at most a third of a service's servers is ejected by shared outcomes", "[placement]")
{
    SeededRandom random(1);
    FleetEjection ejection(random);
    std::map<BackendId, CallCounts> calls;
    for (std::size_t number = 0; number < 9; ++number)
        calls[serverId(number)] = number < 4 ? CallCounts { .answers = 0, .failures = 20, .witnesses = 5 } : CallCounts {};
    for (auto now = start; now < start + 1s; now += 100ms)
        ejection.update(calls, 8, now);
    std::size_t ejected = 0;
    for (const auto& [id, counts] : calls)
        ejected += ejection.isEjected(id, start + 1s) ? 1 : 0;
    CHECK(ejected == 3);
}
