#include "replay/Policy.h"

#include "base/SeededRandom.h"
#include "placement/OverloadPolicy.h"

#include <algorithm>
#include <numeric>

namespace HickoryHollow::Replay {

namespace {

const ServiceId service("models");
constexpr Duration longestRetryAfter = std::chrono::seconds(8); // The users' bound.

std::vector<BackendId> allEngines(std::uint32_t n)
{
    std::vector<BackendId> ids;
    for (std::uint32_t i = 0; i < n; ++i)
        ids.push_back(engineId(i));
    return ids;
}

/** Board, queue and overload policy joined as an entry instance joins them. */
class Product final : public Policy {
public:
    struct Parts {
        bool tells = true; ///< Of prompts that engines keep.
        bool waits = true; ///< In the queue.
        bool refuses = true; ///< Prompts that come too late.
        bool setsApart = true; ///< Engines for interactive streams.
    };

    Product(const PolicyOptions& options, Parts parts)
        : m_parts(parts)
        , m_random(options.seed)
        , m_board({ .ownDomain = FailureDomainId("d") }, m_random)
        , m_queue(m_board)
    {
        m_board.setEngineLimits(service, options.engine.slots, options.engine.tokenCapacity);
        for (const auto& id : allEngines(options.engines)) {
            BackendRecord record { .id = id, .incarnation = Incarnation(1), .sequence = 1, .service = service, .serverName = id.value() };
            record.slots = options.engine.slots;
            m_board.merge(record);
        }
        if (parts.setsApart)
            m_board.setInteractiveServices({ service }, {});
    }

    void offer(const Offer& offered, TimePoint now) override
    {
        auto offer = offered;
        offer.request.isInteractive = offer.request.isInteractive && m_parts.setsApart;
        if (auto grant = m_queue.tryPlace(offer.request, now)) {
            conclude(offer, now, *grant, now);
            return;
        }
        const auto hold = m_parts.waits ? maxQueueTime({ .firstTokenTarget = offer.target, .age = {}, .callerTimeout = offer.patience }) : Duration();
        const auto waiter = m_queue.enqueue(offer.request, now + hold, now);
        m_waiting.emplace(waiter, Waiting { .offer = offer, .since = now });
    }

    std::vector<Verdict> decide(TimePoint now) override
    {
        for (auto& [waiter, grant] : m_queue.placeWaiting(now)) {
            const auto it = m_waiting.extract(waiter).mapped();
            conclude(it.offer, it.since, grant, now);
        }
        return std::exchange(m_verdicts, {});
    }

    void firstPiece(std::uint64_t id, TimePoint now) override { m_board.recordFirstToken(m_calls.at(id), now); }

    void end(std::uint64_t id, bool isAnswered, TimePoint now) override
    {
        const auto call = m_calls.extract(id);
        if (!call.empty())
            m_board.endCall(call.mapped(), isAnswered ? CallOutcome::Answered : CallOutcome::Rejected, now);
    }

    std::map<BackendId, ServerUsage> localUsage() const override { return m_board.localUsage(); }

    void takeOtherUse(const std::map<BackendId, ServerUsage>& uses, TimePoint now) override
    {
        m_board.clearRemoteUsage();
        for (const auto& [id, use] : uses)
            m_board.setRemoteUsage(id, use);
        m_board.updateReservations(now);
    }

    std::vector<CachedPrefix> takeKeptPrompts() override
    {
        auto prompts = m_board.takeCachedPrefixes();
        return m_parts.tells ? std::move(prompts) : std::vector<CachedPrefix>();
    }

    void noteKeptPrompts(const std::vector<CachedPrefix>& prompts, TimePoint now) override
    {
        for (const auto& it : prompts)
            m_board.addReportedPrefix(it, now);
    }

private:
    struct Waiting {
        Offer offer;
        TimePoint since;
    };

    void conclude(const Offer& offer, TimePoint since, const AdmissionQueue::Grant& grant, TimePoint now)
    {
        const RequestTiming waiting { .firstTokenTarget = offer.target, .age = now - since, .callerTimeout = offer.patience };
        if (m_parts.refuses && shouldShed(offer.request, grant.placement, waiting)) {
            m_board.endCall(grant.call, CallOutcome::Rejected, now);
            m_verdicts.push_back({ .id = offer.id, .kind = Verdict::Kind::Refuse, .engine = 0, .returnAfter = retryAfterDelay(waiting, longestRetryAfter, m_random) });
            return;
        }
        m_board.recordSent(grant.call, offer.request.prompt, now);
        m_calls.emplace(offer.id, grant.call);
        m_verdicts.push_back({ .id = offer.id, .kind = Verdict::Kind::Send, .engine = engineNumber(grant.placement.backend) });
    }

    Parts m_parts;
    SeededRandom m_random;
    BackendSelector m_board;
    AdmissionQueue m_queue;
    std::map<WaiterId, Waiting> m_waiting;
    std::map<std::uint64_t, CallId> m_calls; // That were sent and have not ended.
    std::vector<Verdict> m_verdicts; // Not yet given.
};

/** Sends everything at once, by the count of requests at most. */
class Plain final : public Policy {
public:
    enum class Way {
        RoundRobin,
        LeastOutstanding,
        TwoChoices, ///< The one with fewer requests of two that are drawn.
    };

    Plain(const PolicyOptions& options, Way way)
        : m_way(way)
        , m_random(options.seed)
        , m_own(options.engines)
        , m_others(options.engines)
        , m_next(static_cast<std::uint32_t>(m_random.below(options.engines)))
    {
    }

    void offer(const Offer& offer, TimePoint) override
    {
        const auto engine = pick();
        ++m_own[engine];
        m_calls[offer.id] = engine;
        m_verdicts.push_back({ .id = offer.id, .kind = Verdict::Kind::Send, .engine = engine });
    }

    std::vector<Verdict> decide(TimePoint) override { return std::exchange(m_verdicts, {}); }
    void firstPiece(std::uint64_t, TimePoint) override { }

    void end(std::uint64_t id, bool, TimePoint) override
    {
        const auto call = m_calls.extract(id);
        if (!call.empty())
            --m_own[call.mapped()];
    }

    std::map<BackendId, ServerUsage> localUsage() const override
    {
        std::map<BackendId, ServerUsage> uses;
        for (std::uint32_t i = 0; i < m_own.size(); ++i) {
            if (m_own[i] > 0)
                uses[engineId(i)] = { .requests = m_own[i] };
        }
        return uses;
    }

    void takeOtherUse(const std::map<BackendId, ServerUsage>& uses, TimePoint) override
    {
        std::fill(m_others.begin(), m_others.end(), 0);
        for (const auto& [id, use] : uses)
            m_others[engineNumber(id)] = use.requests;
    }

private:
    std::uint32_t pick()
    {
        const auto n = static_cast<std::uint32_t>(m_own.size());
        const auto isLess = [this](std::uint32_t a, std::uint32_t b) { return m_own[a] + m_others[a] < m_own[b] + m_others[b]; };
        m_next = (m_next + 1) % n;
        if (m_way == Way::RoundRobin)
            return m_next;
        if (m_way == Way::TwoChoices) {
            const auto a = static_cast<std::uint32_t>(m_random.below(n));
            const auto b = static_cast<std::uint32_t>(m_random.below(n));
            return isLess(a, b) ? a : b;
        }
        std::vector<std::uint32_t> order(n);
        std::iota(order.begin(), order.end(), 0);
        std::rotate(order.begin(), order.begin() + m_next, order.end());
        return *std::min_element(order.begin(), order.end(), isLess);
    }

    Way m_way;
    SeededRandom m_random;
    std::vector<std::uint32_t> m_own; // Requests at each engine.
    std::vector<std::uint32_t> m_others; // As told last.
    std::uint32_t m_next;
    std::map<std::uint64_t, std::uint32_t> m_calls;
    std::vector<Verdict> m_verdicts; // Not yet given.
};

const std::map<std::string, Product::Parts> products {
    { "product", {} },
    { "without-telling", { .tells = false } },
    { "without-waiting", { .waits = false } },
    { "without-refusing", { .refuses = false } },
    { "without-setting-apart", { .setsApart = false } },
};

const std::map<std::string, Plain::Way> plainWays {
    { "round-robin", Plain::Way::RoundRobin },
    { "least-outstanding", Plain::Way::LeastOutstanding },
    { "two-choices", Plain::Way::TwoChoices },
};

} // namespace

std::vector<std::string> policyNames()
{
    std::vector<std::string> names;
    names.reserve(products.size() + plainWays.size());
    for (const auto& [name, parts] : products)
        names.push_back(name);
    for (const auto& [name, way] : plainWays)
        names.push_back(name);
    return names;
}

std::unique_ptr<Policy> makePolicy(const PolicyOptions& options)
{
    if (const auto it = products.find(options.name); it != products.end())
        return std::make_unique<Product>(options, it->second);
    if (const auto it = plainWays.find(options.name); it != plainWays.end())
        return std::make_unique<Plain>(options, it->second);
    return nullptr;
}

BackendId engineId(std::uint32_t number)
{
    return BackendId("engine-" + std::to_string(number));
}

std::uint32_t engineNumber(const BackendId& id)
{
    return static_cast<std::uint32_t>(std::stoul(id.value().substr(id.value().find('-') + 1)));
}

} // namespace HickoryHollow::Replay
