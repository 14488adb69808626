/** \file
 * Replays of loads over capacity against the decisions: what is turned away, and who is served.
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

/** Engines that read prompts one after the other, at 60 tokens a millisecond, whatever their priority. */
class Replay {
public:
    explicit Replay(int engines, bool turnsAway)
        : m_turnsAway(turnsAway)
        , m_board({ .ownDomain = FailureDomainId("a") }, m_random)
        , m_queue(m_board)
    {
        m_board.setEngine(models, 48, 440'000);
        for (int i = 1; i <= engines; ++i) {
            BackendRecord record { .id = BackendId("10.0.0." + std::to_string(i) + ":1"), .incarnation = Incarnation(1), .sequence = 1, .service = models, .serverName = "s" };
            record.slots = 48;
            m_board.merge(record);
        }
    }

    struct Kind {
        std::uint32_t priority = 0;
        Duration target {};
        std::uint32_t tokens = 0;
        int perTick = 0; ///< Arrivals each 100 ms.
    };

    struct Tally {
        int asked = 0;
        int turnedAway = 0;
        int inTarget = 0;
    };

    /** Plays ten seconds of arrivals and what is left of them. */
    std::map<std::uint32_t, Tally> run(const std::vector<Kind>& kinds)
    {
        for (int tick = 0; tick < 400; ++tick) {
            m_now = start + tick * 25ms;
            finishDue();
            for (auto& [waiter, grant] : m_queue.pump(m_now))
                take(m_waiting.extract(waiter).mapped(), grant);
            for (const auto& kind : kinds) {
                for (int i = 0; tick % 4 == 0 && i < kind.perTick; ++i)
                    arrive(kind);
            }
        }
        for (; !m_running.empty(); m_now += 25ms)
            finishDue();
        return m_tallies;
    }

private:
    struct Request {
        Kind kind;
        PlacementRequest wanted;
        TimePoint arrival;
    };
    struct Running {
        Request request;
        CallId call;
        TimePoint firstPieceAt;
    };

    void arrive(const Kind& kind)
    {
        ++m_tallies[kind.priority].asked;
        Request request { .kind = kind, .wanted = { .service = models }, .arrival = m_now };
        request.wanted.prompt = { .model = "m", .parts = { { .id = ++m_part, .tokens = kind.tokens } }, .tokens = kind.tokens };
        request.wanted.priority = kind.priority;
        request.wanted.ranksAboveLowest = 2 - kind.priority;
        if (const auto grant = m_queue.tryPlace(request.wanted, m_now))
            take(request, *grant);
        else
            m_waiting.emplace(m_queue.enter(request.wanted, m_now + longestHold({ .target = kind.target, .waited = {}, .patience = 10s }), m_now), request);
    }

    void take(const Request& request, const AdmissionQueue::Grant& grant)
    {
        const WaitingRequest waiting { .target = request.kind.target, .waited = m_now - request.arrival, .patience = 10s };
        if (m_turnsAway && isHopeless(request.wanted, grant.placement, waiting)) {
            m_board.end(grant.call, CallOutcome::Rejected, m_now);
            ++m_tallies[request.kind.priority].turnedAway;
            return;
        }
        auto& freeAt = m_freeAt[grant.placement.backend];
        freeAt = std::max(freeAt, m_now) + std::chrono::milliseconds(request.kind.tokens / 60);
        m_running.push_back({ .request = request, .call = grant.call, .firstPieceAt = freeAt });
    }

    void finishDue()
    {
        std::erase_if(m_running, [this](const Running& it) {
            if (it.firstPieceAt > m_now)
                return false;
            m_board.firstPiece(it.call, it.firstPieceAt);
            m_board.end(it.call, CallOutcome::Answered, it.firstPieceAt);
            m_tallies[it.request.kind.priority].inTarget += it.firstPieceAt - it.request.arrival <= it.request.kind.target ? 1 : 0;
            return true;
        });
    }

    bool m_turnsAway;
    SeededRandom m_random { 1 };
    BackendBoard m_board;
    AdmissionQueue m_queue;
    TimePoint m_now = start;
    std::uint64_t m_part = 0;
    std::map<WaiterId, Request> m_waiting;
    std::vector<Running> m_running;
    std::map<BackendId, TimePoint> m_freeAt;
    std::map<std::uint32_t, Tally> m_tallies;
};

// Six engines read 36,000 tokens each 100 ms; drafts alone bring 60,000.
const std::vector<Replay::Kind> overload { { .priority = 2, .target = 1500ms, .tokens = 15'000, .perTick = 4 }, { .priority = 1, .target = 600ms, .tokens = 6'000, .perTick = 2 } };

} // namespace

TEST_CASE("turning the least urgent away lets the urgent meet their target", "[placement]")
{
    auto kept = Replay(6, false).run(overload);
    auto turned = Replay(6, true).run(overload);
    CHECK(turned[1].turnedAway == 0);
    CHECK(turned[2].turnedAway > 0);
    CHECK(turned[1].inTarget >= kept[1].inTarget);
    CHECK(turned[2].inTarget > kept[2].inTarget);
    // What is not turned away is served in time, for the most part.
    CHECK(turned[2].inTarget * 10 >= (turned[2].asked - turned[2].turnedAway) * 8);
}

TEST_CASE("a load that the engines can read is not turned away", "[placement]")
{
    auto tallies = Replay(6, true).run({ { .priority = 2, .target = 1500ms, .tokens = 12'000, .perTick = 1 }, { .priority = 1, .target = 600ms, .tokens = 6'000, .perTick = 1 } });
    for (const auto& [priority, tally] : tallies) {
        CAPTURE(priority);
        CHECK(tally.turnedAway == 0);
        CHECK(tally.inTarget == tally.asked);
    }
}

TEST_CASE("interactive and plain requests are never turned away for their wait", "[placement]")
{
    const Placement late { .burden = 1h };
    const WaitingRequest waiting { .target = 300ms, .waited = 1s, .patience = 10s };
    PlacementRequest edit { .service = models, .isInteractive = true };
    edit.prompt.tokens = 1000;
    CHECK_FALSE(isHopeless(edit, late, waiting));
    CHECK_FALSE(isHopeless({ .service = models }, late, waiting));
}

TEST_CASE("returns are spread, and not put off beyond the longest time", "[placement]")
{
    SeededRandom random(1);
    const WaitingRequest waiting { .target = 2s, .waited = {}, .patience = 10s };
    std::map<long, int> quarters;
    for (int i = 0; i < 400; ++i) {
        const auto wait = returnTime(waiting, 8s, random);
        CHECK(wait >= 1s);
        CHECK(wait <= 3s);
        ++quarters[(wait - Duration(1s)) / 500ms];
    }
    for (const auto& [quarter, n] : quarters)
        CHECK(n >= 50);
    CHECK(returnTime(waiting, 500ms, random) == 500ms);
}
