/** \file
 * Sharing the limits that servers name: by single messages, and in fleets of 9 and 300 entry instances with a fake clock, where
 * the arrivals at the servers are counted as the users' rule counts them.
 */
#include "base/SeededRandom.h"
#include "placement/AdmissionQueue.h"
#include "placement/BackendSelector.h"
#include "placement/LimitShares.h"
#include "placement/LimitedServers.h"
#include "platform/HeaderCodec.h"
#include "wire/LimitCodec.h"
#include "wire/gen/hickoryhollow_types.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <memory>

using namespace HickoryHollow;
using namespace std::chrono_literals;

namespace {

const TimePoint start(1h);
const BackendId limited("10.0.0.1:1");
const ServerStartId server = serverStartOf(limited, Incarnation(1));
constexpr Duration settlingTime = 3s; // `contact-ms` of the smaller deployments.
constexpr Duration window = 4s;

/** What the users' rule allows in a window at this limit. */
double allowedInWindow(double limit)
{
    return 1.5 * limit * 4 + 5;
}

/**
 * Entry instances, the state instances that they are attached to, and the servers of one service. Messages take a fixed time. Steps
 * of 10 ms.
 */
class Fleet {
public:
    struct Options {
        std::uint64_t seed = 1;
        std::size_t entries = 9;
        std::size_t states = 5;
        std::size_t servers = 9;
        std::size_t limitedServers = 1; ///< The first ones name a limit.
        double requestsPerSecond = 25; ///< Of all callers together.
        double urgentShare = 0.3; ///< Share of the requests that have priority 0; the others have priority 2.
        std::size_t busyEntries = 0; ///< Number of entry instances that get requests; 0 for all.
        std::function<std::optional<double>(Duration)> limitAt = [](auto) { return 1.0; }; ///< By the time since the start.
    };

    explicit Fleet(Options options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
        , m_arrivals(m_options.servers)
        , m_answers(m_options.servers)
    {
        for (std::size_t i = 0; i < m_options.entries; ++i)
            addEntry();
        m_shares.resize(m_options.states);
        m_canIssue.assign(m_options.states, true);
    }

    void addEntry()
    {
        auto entry = std::make_unique<Entry>(m_random);
        entry->attached = m_entries.size() % m_options.states;
        for (std::size_t i = 0; i < m_options.servers; ++i)
            entry->selector.merge({ .id = address(i), .incarnation = Incarnation(1), .sequence = 1, .service = ServiceId("s") });
        m_entries.push_back(std::move(entry));
        for (auto& it : m_entries)
            it->selector.limits().setInstances(static_cast<std::uint32_t>(m_entries.size()));
    }

    void run(Duration time)
    {
        for (const auto end = m_now + time; m_now < end; m_now += step)
            tick();
    }

    /** The entry instance neither sends messages to its state instance nor gets any. */
    void cutOff(std::size_t entry) { m_entries[entry]->isCutOff = true; }
    /** The state instance loses its leader and all its peers, and gets them back. */
    void setCanIssue(std::size_t state, bool can) { m_canIssue[state] = can; }
    /** The state instance starts anew without any memory, and its entry instances attach to the next one. */
    void replaceState(std::size_t state)
    {
        m_shares[state] = {};
        for (std::size_t i = 0; i < m_shares.size(); ++i)
            m_shares[i].remove(stateName(state));
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            if (m_entries[i]->attached == state)
                m_entries[i]->attached = (state + 1) % m_shares.size();
        }
    }
    void pause(std::size_t entry, bool isPaused) { m_entries[entry]->isPaused = isPaused; }

    /** Largest number of arrivals in a window at this server, from `from` after the start on. */
    std::size_t mostInWindow(std::size_t index, Duration from = settlingTime) const
    {
        std::size_t most = 0;
        const auto& times = m_arrivals[index];
        for (auto it = std::lower_bound(times.begin(), times.end(), start + from); it != times.end(); ++it)
            most = std::max(most, static_cast<std::size_t>(std::upper_bound(it, times.end(), *it + window) - it));
        return most;
    }
    /** Arrivals a second at this server between two times after the start. */
    double rate(std::size_t index, Duration from, Duration to) const
    {
        const auto& times = m_arrivals[index];
        const auto n = std::lower_bound(times.begin(), times.end(), start + to) - std::lower_bound(times.begin(), times.end(), start + from);
        return static_cast<double>(n) / std::chrono::duration<double>(to - from).count();
    }
    std::size_t urgentServed = 0;
    std::size_t urgentTurnedAway = 0;
    std::size_t otherServed = 0;
    std::size_t otherTurnedAway = 0;

private:
    static constexpr Duration step = 10ms;
    static constexpr Duration messageTime = 2ms; // Rounded up to a step by the loop.
    static constexpr Duration reportInterval = 150ms;
    static constexpr Duration stateTick = 100ms;
    static constexpr Duration answerTime = 50ms;
    static constexpr Duration queueTime = 180ms; // Of requests with a target of 300 ms.

    struct Entry {
        explicit Entry(RandomSource& random)
            : selector({ .ownDomain = FailureDomainId("a") }, random)
            , queue(selector)
        {
        }
        BackendSelector selector;
        AdmissionQueue queue;
        std::map<WaiterId, bool> waiters; // Whether the request is urgent.
        std::size_t attached = 0;
        TimePoint reportAt {};
        bool isCutOff = false;
        bool isPaused = false;
    };

    struct Answer {
        std::size_t entry;
        TimePoint sentAt;
        TimePoint at;
        std::optional<double> limit;
    };

    static BackendId address(std::size_t i) { return BackendId("10.0.0." + std::to_string(i + 1) + ":1"); }
    static std::string entryName(std::size_t i) { return "entry-" + std::to_string(i); }
    static std::string stateName(std::size_t i) { return "state-" + std::to_string(i); }

    void later(std::function<void()> deliver) { m_messages.emplace_back(m_now + messageTime, std::move(deliver)); }

    void deliverMessages()
    {
        while (!m_messages.empty() && m_messages.front().first <= m_now) {
            const auto deliver = std::move(m_messages.front().second);
            m_messages.pop_front();
            deliver();
        }
    }

    void sendUpdate(std::size_t entry, const LimitUpdate& update)
    {
        if (m_entries[entry]->isCutOff)
            return;
        // Encoded as on the links, which round ages to milliseconds.
        later([this, entry, wire = toWire(update)] {
            m_entries[entry]->selector.limits().apply(fromWire(wire), m_now);
            placeWaiting(entry);
        });
    }

    void sendPermits(const std::map<std::string, LimitUpdate>& updates)
    {
        for (const auto& [source, update] : updates)
            sendUpdate(std::stoul(source.substr(6)), update);
    }

    void tickStates()
    {
        for (std::size_t i = 0; i < m_shares.size(); ++i) {
            auto& shares = m_shares[i];
            shares.expire(m_now);
            const auto states = m_canIssue[i] ? m_shares.size() : 1;
            sendPermits(shares.issue(m_canIssue[i], states, m_now));
            const auto report = shares.takeReportToStates(m_now);
            const auto changes = shares.takeChanges(m_now);
            for (std::size_t to = 0; to < m_shares.size() && !report.isEmpty(); ++to) {
                if (to != i && m_canIssue[i] && m_canIssue[to])
                    later([this, to, from = stateName(i), wire = toWire(report)] { m_shares[to].reportFromState(from, fromWire(wire), m_now); });
            }
            for (std::size_t entry = 0; entry < m_entries.size() && m_canIssue[i] && !shares.isEmpty(); ++entry) {
                if (m_entries[entry]->attached == i)
                    sendUpdate(entry, changes);
            }
        }
    }

    void report(std::size_t index)
    {
        auto& entry = *m_entries[index];
        entry.reportAt = m_now + reportInterval;
        const auto report = entry.selector.limits().takeReport(m_now);
        if (report.isEmpty() || entry.isCutOff)
            return;
        later([this, index, to = entry.attached, wire = toWire(report)] {
            const auto received = fromWire(wire);
            m_shares[to].reportFromEntry(entryName(index), received, m_now);
            sendPermits(m_shares[to].issueFor(received, m_canIssue[to], m_canIssue[to] ? m_shares.size() : 1, m_now));
        });
    }

    void request()
    {
        const auto busy = m_options.busyEntries == 0 ? m_entries.size() : m_options.busyEntries;
        const auto index = m_random.below(busy);
        auto& entry = *m_entries[index];
        const auto isUrgent = static_cast<double>(m_random.below(1000)) < m_options.urgentShare * 1000;
        if (entry.isPaused)
            return;
        const PlacementRequest request { .service = ServiceId("s"), .prompt = {}, .priority = isUrgent ? 0U : 2U };
        if (const auto grant = entry.queue.tryPlace(request, m_now)) {
            send(index, isUrgent, *grant);
            return;
        }
        entry.waiters[entry.queue.enqueue(request, m_now + queueTime, m_now)] = isUrgent;
        if (entry.selector.limits().isReportDue())
            report(index);
    }

    void placeWaiting(std::size_t index)
    {
        auto& entry = *m_entries[index];
        for (const auto& [id, grant] : entry.queue.placeWaiting(m_now))
            send(index, entry.waiters.extract(id).mapped(), grant);
        for (const auto& id : entry.queue.takeUnplaceable(m_now))
            ++(entry.waiters.extract(id).mapped() ? urgentTurnedAway : otherTurnedAway);
    }

    void send(std::size_t index, bool isUrgent, const AdmissionQueue::Grant& grant)
    {
        auto& entry = *m_entries[index];
        ++(isUrgent ? urgentServed : otherServed);
        entry.selector.recordSent(grant.call, {}, m_now);
        entry.selector.endCall(grant.call, CallOutcome::Answered, m_now);
        const auto* placement = &grant.placement;
        for (std::size_t i = 0; i < m_options.servers; ++i) {
            if (placement->backend != address(i))
                continue;
            m_arrivals[i].push_back(m_now);
            const auto limit = i < m_options.limitedServers ? m_options.limitAt(m_now - start) : std::nullopt;
            m_answers[i].push_back({ .entry = index, .sentAt = m_now, .at = m_now + answerTime, .limit = limit });
        }
    }

    void takeAnswers()
    {
        for (std::size_t i = 0; i < m_answers.size(); ++i) {
            auto& answers = m_answers[i];
            while (!answers.empty() && answers.front().at <= m_now) {
                const auto it = answers.front();
                answers.pop_front();
                const auto rate = it.limit ? std::optional(requestRateOf(*it.limit)) : std::nullopt;
                m_entries[it.entry]->selector.recordLimit(address(i), Incarnation(1), rate, rate ? m_now : it.sentAt, m_now);
            }
        }
    }

    void tick()
    {
        deliverMessages();
        takeAnswers();
        if (m_now >= m_nextStateTick) {
            m_nextStateTick = m_now + stateTick;
            tickStates();
        }
        m_due += m_options.requestsPerSecond * std::chrono::duration<double>(step).count();
        for (; m_due >= 1; m_due -= 1)
            request();
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            if (m_entries[i]->isPaused)
                continue;
            if (m_entries[i]->queue.size() > 0)
                placeWaiting(i);
            if (m_now >= m_entries[i]->reportAt)
                report(i);
        }
    }

    Options m_options;
    SeededRandom m_random;
    TimePoint m_now = start;
    TimePoint m_nextStateTick = start;
    double m_due = 0;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::vector<LimitShares> m_shares;
    std::vector<bool> m_canIssue;
    std::deque<std::pair<TimePoint, std::function<void()>>> m_messages;
    std::vector<std::vector<TimePoint>> m_arrivals;
    std::vector<std::deque<Answer>> m_answers;
};

} // namespace

TEST_CASE("9 and 300 entry instances use most of a limit and keep to it", "[limits]")
{
    const auto seed = GENERATE(range(1, 6));
    const auto [entries, servers, limit, perSecond] = GENERATE(table<std::size_t, std::size_t, double, double>({
        { 9, 9, 1, 25 },
        { 9, 9, 20, 200 },
        { 9, 1, 1, 10 },
        { 300, 9, 1, 1000 },
        { 300, 1, 5, 300 },
        { 300, 20, 40, 1100 },
    }));
    CAPTURE(seed, entries, servers, limit, perSecond);
    Fleet fleet({ .seed = static_cast<std::uint64_t>(seed), .entries = entries, .servers = servers, .requestsPerSecond = perSecond, .limitAt = [limit = limit](auto) { return std::optional(limit); } });
    fleet.run(25s);
    CHECK(static_cast<double>(fleet.mostInWindow(0)) <= allowedInWindow(limit));
    CHECK(fleet.rate(0, 5s, 25s) >= 0.6 * limit);
}

TEST_CASE("a fleet of which few instances have callers uses most of a limit", "[limits]")
{
    Fleet fleet({ .seed = 3, .entries = 300, .servers = 2, .requestsPerSecond = 40, .busyEntries = 2, .limitAt = [](auto) { return 10.0; } });
    fleet.run(25s);
    CHECK(static_cast<double>(fleet.mostInWindow(0)) <= allowedInWindow(10));
    CHECK(fleet.rate(0, 5s, 25s) >= 6);
}

TEST_CASE("many servers with limits at the same time keep to theirs", "[limits]")
{
    const auto seed = GENERATE(range(1, 4));
    Fleet fleet({ .seed = static_cast<std::uint64_t>(seed), .entries = 30, .servers = 20, .limitedServers = 20, .requestsPerSecond = 300, .limitAt = [](auto) { return 2.0; } });
    fleet.run(20s);
    for (std::size_t i = 0; i < 20; ++i)
        CHECK(static_cast<double>(fleet.mostInWindow(i)) <= allowedInWindow(2));
}

TEST_CASE("urgent requests get the permits first where every server has a limit", "[limits]")
{
    Fleet fleet({ .seed = 2, .entries = 30, .servers = 2, .limitedServers = 2, .requestsPerSecond = 60, .urgentShare = 0.1, .limitAt = [](auto) { return 10.0; } });
    fleet.run(30s);
    const auto share = [](auto served, auto turnedAway) { return static_cast<double>(served) / static_cast<double>(served + turnedAway); };
    CHECK(share(fleet.urgentServed, fleet.urgentTurnedAway) > share(fleet.otherServed, fleet.otherTurnedAway) + 0.2);
    CHECK(fleet.otherServed > 0);
}

TEST_CASE("a limit that is raised, lowered or withdrawn holds as it is named last", "[limits]")
{
    const auto limitAt = [](Duration time) -> std::optional<double> { return time < 20s ? std::optional(4.0) : time < 40s ? std::optional(1.0)
                                                                          : time < 60s                                    ? std::optional(16.0)
                                                                                                                          : std::nullopt; };
    Fleet fleet({ .seed = 5, .requestsPerSecond = 400, .limitAt = limitAt });
    fleet.run(80s);
    CHECK(fleet.rate(0, 5s, 20s) >= 0.6 * 4);
    CHECK(fleet.rate(0, 24s, 40s) <= 1.5);
    CHECK(fleet.rate(0, 24s, 40s) >= 0.6);
    CHECK(fleet.rate(0, 44s, 60s) >= 0.6 * 16);
    CHECK(fleet.rate(0, 44s, 60s) <= 1.5 * 16);
    CHECK(fleet.rate(0, 65s, 80s) >= 30);
}

TEST_CASE("instances cut off from the state instances keep to their part of a limit", "[limits]")
{
    const auto cutOff = GENERATE(1U, 4U, 9U);
    Fleet fleet({ .seed = 4, .requestsPerSecond = 200, .limitAt = [](auto) { return 8.0; } });
    fleet.run(10s);
    for (std::size_t i = 0; i < cutOff; ++i)
        fleet.cutOff(i);
    fleet.run(30s);
    CHECK(static_cast<double>(fleet.mostInWindow(0)) <= allowedInWindow(8));
    CHECK(fleet.rate(0, 15s, 40s) >= 0.3 * 8);
}

TEST_CASE("a limit is kept while state instances are lost, replaced or without a leader, and instances join or are paused", "[limits]")
{
    const auto seed = GENERATE(range(1, 6));
    Fleet fleet({ .seed = static_cast<std::uint64_t>(seed), .requestsPerSecond = 100, .limitAt = [](auto) { return 3.0; } });
    fleet.run(8s);
    fleet.replaceState(0);
    fleet.run(4s);
    fleet.addEntry();
    fleet.pause(2, true);
    fleet.run(4s);
    fleet.pause(2, false);
    for (std::size_t i = 0; i < 5; ++i)
        fleet.setCanIssue(i, i >= 2);
    fleet.run(6s);
    for (std::size_t i = 0; i < 5; ++i)
        fleet.setCanIssue(i, false);
    fleet.run(6s);
    for (std::size_t i = 0; i < 5; ++i)
        fleet.setCanIssue(i, true);
    fleet.run(8s);
    for (std::size_t i = 0; i < 5; ++i)
        fleet.replaceState(i);
    fleet.run(8s);
    CHECK(static_cast<double>(fleet.mostInWindow(0)) <= allowedInWindow(3));
    CHECK(fleet.rate(0, 4s, 44s) >= 0.3 * 3);
}

TEST_CASE("an instance that joins keeps to a limit that it never heard from the server", "[limits]")
{
    LimitShares shares;
    shares.reportFromEntry("entry-1", { .demands = { { .limit = { .server = server, .rate = RequestRate(1000), .age = 0ms } } } }, start);
    LimitedServers joined;
    joined.apply(shares.known(start), start);
    CHECK(joined.isLimited(server));
    CHECK_FALSE(joined.permitUntil(server, 0, start));
}

TEST_CASE("an instance tells a state instance without memory of the limits that it knows", "[limits]")
{
    LimitedServers servers;
    servers.recordNotice(server, RequestRate(2000), start, start);
    CHECK(servers.takeReport(start).demands.size() == 1);
    CHECK(servers.takeReport(start).isEmpty());
    servers.reportAll();
    LimitShares replaced;
    replaced.reportFromEntry("entry-1", servers.takeReport(start + 1s), start + 1s);
    const auto known = replaced.known(start + 1s).grants;
    REQUIRE(known.size() == 1);
    CHECK(known[0].limit.rate == RequestRate(2000));
}

TEST_CASE("a permit runs out, and a less urgent request may use it only after a while", "[limits]")
{
    LimitedServers servers;
    servers.recordNotice(server, RequestRate(1000), start, start);
    LimitGrant grant { .limit = { .server = server, .rate = RequestRate(1000), .age = 0ms } };
    grant.permits[1] = 1;
    servers.apply({ .grants = { grant } }, start);
    CHECK(servers.permitUntil(server, 0, start) == start + 1s);
    CHECK(servers.permitUntil(server, 1, start) == start + 1s);
    CHECK_FALSE(servers.permitUntil(server, 2, start));
    CHECK(servers.permitUntil(server, 2, start + 300ms) == start + 1s);
    CHECK_FALSE(servers.permitUntil(server, 0, start + 1s));
    CHECK(servers.takeReport(start + 1s).demands.at(0).unused == 1);
}

TEST_CASE("a request whose permit has run out while it waited for a connection is not sent", "[limits]")
{
    SeededRandom random(1);
    BackendSelector selector({ .ownDomain = FailureDomainId("a") }, random);
    selector.merge({ .id = limited, .incarnation = Incarnation(1), .sequence = 1, .service = ServiceId("s") });
    const PlacementRequest request { .service = ServiceId("s") };
    const auto before = selector.select(request, start);
    REQUIRE(before);
    CHECK(selector.recordLimit(limited, Incarnation(1), RequestRate(1000), start, start));
    CHECK_FALSE(selector.mayReceive(*before, start));
    LimitGrant grant { .limit = { .server = server, .rate = RequestRate(1000), .age = 0ms } };
    grant.permits[0] = 1;
    selector.limits().apply({ .grants = { grant } }, start);
    const auto placement = selector.select(request, start);
    REQUIRE(placement);
    CHECK(selector.mayReceive(*placement, start + 999ms));
    CHECK_FALSE(selector.mayReceive(*placement, start + 1s));
    selector.beginCall(*placement, request, start);
    CHECK_FALSE(selector.select(request, start));
}

TEST_CASE("a new start of a server has no limit, and an answer of the start before names none for it", "[limits]")
{
    SeededRandom random(1);
    BackendSelector selector({ .ownDomain = FailureDomainId("a") }, random);
    selector.merge({ .id = limited, .incarnation = Incarnation(1), .sequence = 1, .service = ServiceId("s") });
    selector.recordLimit(limited, Incarnation(1), RequestRate(1000), start, start);
    const PlacementRequest request { .service = ServiceId("s") };
    CHECK_FALSE(selector.select(request, start));
    CHECK(selector.hasCandidate(request));
    CHECK(selector.availableAt(request, start) == start + 1s);
    selector.merge({ .id = limited, .incarnation = Incarnation(2), .sequence = 1, .service = ServiceId("s") });
    CHECK(selector.select(request, start));
    CHECK_FALSE(selector.recordLimit(limited, Incarnation(1), RequestRate(1000), start, start));
    CHECK(selector.select(request, start));
}

TEST_CASE("an answer to a request that was sent before a limit was named does not end the limit", "[limits]")
{
    LimitedServers servers;
    servers.recordNotice(server, RequestRate(1000), start + 1s, start + 1s);
    CHECK_FALSE(servers.recordNotice(server, std::nullopt, start, start + 2s));
    CHECK(servers.isLimited(server));
    CHECK(servers.recordNotice(server, std::nullopt, start + 1500ms, start + 2s));
    CHECK_FALSE(servers.isLimited(server));
}

TEST_CASE("limits that are no numbers of requests are ignored, and extreme ones are bounded", "[limits]")
{
    const Platform::HeaderCodec codec;
    const auto parse = [&codec](const std::string& text) { return codec.parseNotice(200, { { .name = "Server-Limit", .value = text } }); };
    for (const auto* text : { "", "abc", "-1", "nan", "inf", "1 2", "1,5", "0x10" }) {
        CAPTURE(text);
        CHECK(parse(text).isLimitUnreadable);
        CHECK_FALSE(parse(text).limit);
    }
    CHECK(parse("0").limit == minRequestRate);
    CHECK(parse("2.5").limit == RequestRate(2500));
    CHECK(parse("1e300").limit == maxRequestRate);
    CHECK_FALSE(codec.parseNotice(200, {}).isLimitUnreadable);
    Wire::LimitReport hostile;
    hostile.demands.emplace_back().limit.__set_rate(-5);
    hostile.demands.back().wanted.assign(1000, -7);
    const auto decoded = fromWire(hostile);
    CHECK(decoded.demands.at(0).limit.rate == minRequestRate);
    CHECK(totalOf(decoded.demands.at(0).wanted) == 0);
}

TEST_CASE("the memory for limits is bounded, whatever servers name", "[limits]")
{
    LimitedServers servers;
    LimitShares shares;
    for (std::uint64_t i = 0; i < 5000; ++i) {
        const auto now = start + std::chrono::milliseconds(i);
        servers.recordNotice(ServerStartId(i), RequestRate(static_cast<std::uint32_t>(i) + 1000), now, now);
        shares.reportFromEntry("entry-1", { .demands = { { .limit = { .server = ServerStartId(i), .rate = RequestRate(1000), .age = 0ms } } } }, now);
    }
    CHECK(servers.takeReport(start + 5s).demands.size() == 1024);
    CHECK(shares.known(start + 5s).grants.size() == 1024);
    shares.expire(start + 2min);
    CHECK(shares.isEmpty());
    CHECK(servers.takeReport(start + 2min).isEmpty());
}
