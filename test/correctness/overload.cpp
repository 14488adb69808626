/** \file
 * Replays of overload against the admission queue and the shedding policy: which requests are refused, and which meet their
 * targets.
 */
#include "base/SeededRandom.h"
#include "placement/AdmissionQueue.h"
#include "placement/OverloadPolicy.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

const ServiceId models("models");
const TimePoint start(1h);

/** Simulates engines that prefill prompts in order of arrival, at 60 tokens per millisecond, regardless of priority. */
class Replay {
public:
    explicit Replay(int engines, bool isShedding)
        : m_isShedding(isShedding)
        , m_selector({ .ownDomain = FailureDomainId("a") }, m_random)
        , m_queue(m_selector)
    {
        m_selector.setEngineLimits(models, 48, 440'000);
        for (int i = 1; i <= engines; ++i) {
            BackendRecord record { .id = BackendId("10.0.0." + std::to_string(i) + ":1"), .incarnation = Incarnation(1), .sequence = 1, .service = models, .serverName = "s" };
            record.slots = 48;
            m_selector.merge(record);
        }
    }

    struct Kind {
        std::uint32_t priority = 0;
        Duration target {};
        std::uint32_t tokens = 0;
        int arrivals = 0; ///< Number of requests that arrive every 100 ms.
    };

    struct Tally {
        int offered = 0;
        int refused = 0;
        int inTarget = 0;
    };

    /** Simulates ten seconds of arrivals, and then the rest of the running requests. */
    std::map<std::uint32_t, Tally> run(const std::vector<Kind>& kinds)
    {
        for (int tick = 0; tick < 400; ++tick) {
            m_now = start + tick * 25ms;
            finishDueRequests();
            for (auto& [waiter, grant] : m_queue.placeWaiting(m_now))
                dispatch(m_waiting.extract(waiter).mapped(), grant);
            for (const auto& kind : kinds) {
                for (int i = 0; tick % 4 == 0 && i < kind.arrivals; ++i)
                    arrive(kind);
            }
        }
        for (; !m_running.empty(); m_now += 25ms)
            finishDueRequests();
        return m_tallies;
    }

private:
    struct Request {
        Kind kind;
        PlacementRequest placementRequest;
        TimePoint arrival;
    };
    struct Running {
        Request request;
        CallId call;
        TimePoint firstTokenAt;
    };

    void arrive(const Kind& kind)
    {
        ++m_tallies[kind.priority].offered;
        Request request { .kind = kind, .placementRequest = { .service = models }, .arrival = m_now };
        request.placementRequest.prompt = { .model = "m", .parts = { { .id = PromptPartId(++m_part), .tokens = kind.tokens } }, .tokens = kind.tokens };
        request.placementRequest.priority = kind.priority;
        request.placementRequest.levelsAboveLowest = 2 - kind.priority;
        if (const auto grant = m_queue.tryPlace(request.placementRequest, m_now))
            dispatch(request, *grant);
        else
            m_waiting.emplace(m_queue.enqueue(request.placementRequest, m_now + maxQueueTime({ .firstTokenTarget = kind.target, .age = {}, .callerTimeout = 10s }), m_now), request);
    }

    void dispatch(const Request& request, const AdmissionQueue::Grant& grant)
    {
        const RequestTiming timing { .firstTokenTarget = request.kind.target, .age = m_now - request.arrival, .callerTimeout = 10s };
        if (m_isShedding && shouldShed(request.placementRequest, grant.placement, timing)) {
            m_selector.endCall(grant.call, CallOutcome::Rejected, m_now);
            ++m_tallies[request.kind.priority].refused;
            return;
        }
        auto& idleAt = m_idleAt[grant.placement.backend];
        idleAt = std::max(idleAt, m_now) + std::chrono::milliseconds(request.kind.tokens / 60);
        m_running.push_back({ .request = request, .call = grant.call, .firstTokenAt = idleAt });
    }

    void finishDueRequests()
    {
        std::erase_if(m_running, [this](const Running& it) {
            if (it.firstTokenAt > m_now)
                return false;
            m_selector.recordFirstToken(it.call, it.firstTokenAt);
            m_selector.endCall(it.call, CallOutcome::Answered, it.firstTokenAt);
            m_tallies[it.request.kind.priority].inTarget += it.firstTokenAt - it.request.arrival <= it.request.kind.target ? 1 : 0;
            return true;
        });
    }

    bool m_isShedding;
    SeededRandom m_random { 1 };
    BackendSelector m_selector;
    AdmissionQueue m_queue;
    TimePoint m_now = start;
    std::uint64_t m_part = 0;
    std::map<WaiterId, Request> m_waiting;
    std::vector<Running> m_running;
    std::map<BackendId, TimePoint> m_idleAt;
    std::map<std::uint32_t, Tally> m_tallies;
};

// Six engines prefill 36,000 tokens every 100 ms; the requests of priority 2 alone bring 60,000.
const std::vector<Replay::Kind> overload { { .priority = 2, .target = 1500ms, .tokens = 15'000, .arrivals = 4 }, { .priority = 1, .target = 600ms, .tokens = 6'000, .arrivals = 2 } };

} // namespace

TEST_CASE("shedding the least urgent requests lets more requests meet their target", "[placement]")
{
    auto unlimited = Replay(6, false).run(overload);
    auto shedding = Replay(6, true).run(overload);
    CHECK(shedding[1].refused == 0);
    CHECK(shedding[2].refused > 0);
    CHECK(shedding[1].inTarget >= unlimited[1].inTarget);
    CHECK(shedding[2].inTarget > unlimited[2].inTarget);
    // At least 80 % of the requests that were not refused meet their target.
    CHECK(shedding[2].inTarget * 10 >= (shedding[2].offered - shedding[2].refused) * 8);
}

TEST_CASE("a load within the prefill rate of the engines is not shed", "[placement]")
{
    auto tallies = Replay(6, true).run({ { .priority = 2, .target = 1500ms, .tokens = 12'000, .arrivals = 1 }, { .priority = 1, .target = 600ms, .tokens = 6'000, .arrivals = 1 } });
    for (const auto& [priority, tally] : tallies) {
        CAPTURE(priority);
        CHECK(tally.refused == 0);
        CHECK(tally.inTarget == tally.offered);
    }
}

TEST_CASE("interactive requests and requests without a prompt are never shed", "[placement]")
{
    const Placement late { .loadAdjustedTime = 1h };
    const RequestTiming timing { .firstTokenTarget = 300ms, .age = 1s, .callerTimeout = 10s };
    PlacementRequest edit { .service = models, .isInteractive = true };
    edit.prompt.tokens = 1000;
    CHECK_FALSE(shouldShed(edit, late, timing));
    CHECK_FALSE(shouldShed({ .service = models }, late, timing));
}

TEST_CASE("times to try again are spread and limited", "[placement]")
{
    SeededRandom random(1);
    const RequestTiming timing { .firstTokenTarget = 2s, .age = {}, .callerTimeout = 10s };
    std::map<long, int> quarters;
    for (int i = 0; i < 400; ++i) {
        const auto delay = retryAfterDelay(timing, 8s, random);
        CHECK(delay >= 1s);
        CHECK(delay <= 3s);
        ++quarters[(delay - Duration(1s)) / 500ms];
    }
    for (const auto& [quarter, n] : quarters)
        CHECK(n >= 50);
    CHECK(retryAfterDelay(timing, 500ms, random) == 500ms);
}
