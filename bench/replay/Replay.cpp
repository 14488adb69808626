#include "replay/Replay.h"

#include "base/SeededRandom.h"
#include "replay/Policy.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <set>

namespace HickoryHollow::Replay {

namespace {

constexpr Duration tick = std::chrono::milliseconds(5); // Well under every target.
constexpr Duration tellInterval = std::chrono::milliseconds(150); // Of an entry instance.
constexpr Duration tellDelay = std::chrono::milliseconds(100); // Until the others have it.
constexpr Duration slowSpell = std::chrono::seconds(1); // How long an engine is slow at a time.
constexpr std::uint64_t fine = 1'000'000; // Steps of a random share.

struct Request {
    std::size_t kind = 0;
    std::size_t instance = 0;
    Prompt prompt;
    TimePoint askedAt; ///< The first attempt.
    TimePoint offeredAt;
    std::uint32_t attempts = 1;
    bool isSent = false;
    std::uint32_t engine = 0;
    bool hasFirstPiece = false;
    bool isLate = false;
    TimePoint lastPieceAt {};
};

class Simulation {
public:
    Simulation(const Load& load, const std::string& policy, bool seesAll)
        : m_load(load)
        , m_random(load.seed)
        , m_tellDelay(seesAll ? Duration() : tellDelay)
    {
        for (std::uint32_t i = 0; i < load.engines; ++i) {
            m_engines.emplace_back(load.engine);
            m_engines.back().setReadBefore(&m_readBefore);
        }
        for (std::uint32_t i = 0; i < (seesAll ? 1 : load.instances); ++i)
            m_policies.push_back(makePolicy({ .name = policy, .engines = load.engines, .engine = load.engine, .seed = load.seed + i + 1 }));
    }

    Outcome run()
    {
        const TimePoint start(std::chrono::hours(1));
        const auto end = start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_load.seconds));
        const auto drained = end + std::chrono::seconds(8);
        for (auto now = start; now < drained; now += tick) {
            m_second = std::chrono::duration<double>(now - start).count();
            if (now < end)
                arrive(now);
            comeBack(now);
            for (auto& it : m_policies)
                carryOut(*it, now);
            runEngines(now);
            leave(now);
            if ((now - start) % tellInterval < tick)
                tell(now);
            hear(now);
        }
        for (const auto& it : m_engines) {
            m_outcome.tokensRead += it.tokensRead();
            m_outcome.tokensReread += it.tokensReread();
        }
        return m_outcome;
    }

private:
    struct Told {
        TimePoint at;
        std::map<std::size_t, std::map<BackendId, ServerUsage>> uses; ///< By instance.
        std::vector<CachedPrefix> kept;
    };

    double chance() { return static_cast<double>(m_random.below(fine)) / fine; }

    double ratePerSecond(const Kind& kind) const
    {
        auto rate = kind.perSecond;
        for (const auto& it : kind.bursts)
            rate *= m_second >= it.fromSecond && m_second < it.untilSecond ? it.factor : 1;
        return rate;
    }

    // Subjects are asked for unevenly: the square makes the first tenth take a third of the requests.
    std::uint64_t pickSubject(const Kind& kind)
    {
        if (chance() < kind.hotShare)
            return 0;
        return static_cast<std::uint64_t>(std::pow(chance(), 2) * kind.subjects);
    }

    void arrive(TimePoint now)
    {
        for (std::size_t i = 0; i < m_load.kinds.size(); ++i) {
            const auto& kind = m_load.kinds[i];
            auto& due = m_due[i];
            due += ratePerSecond(kind) * std::chrono::duration<double>(tick).count() * 2 * chance();
            for (; due >= 1; due -= 1)
                ask(i, now);
        }
    }

    void ask(std::size_t number, TimePoint now)
    {
        const auto& kind = m_load.kinds[number];
        const auto id = ++m_lastId;
        Request request { .kind = number, .instance = m_random.below(m_policies.size()), .prompt = {}, .askedAt = now, .offeredAt = now };
        const auto subject = (number + 1) * fine + pickSubject(kind);
        request.prompt = { .model = "m", .parts = { { .id = subject, .tokens = kind.sharedTokens }, { .id = id << 32U, .tokens = kind.ownTokens } }, .tokens = kind.sharedTokens + kind.ownTokens, .maxOutputTokens = kind.outputTokens };
        ++m_outcome.kinds[kind.name].asked;
        offer(id, m_requests.emplace(id, std::move(request)).first->second, now);
    }

    void offer(std::uint64_t id, Request& request, TimePoint now)
    {
        const auto& kind = m_load.kinds[request.kind];
        request.offeredAt = now;
        PlacementRequest wanted { .service = ServiceId("models"), .prompt = request.prompt, .priority = kind.priority, .isInteractive = kind.isInteractive };
        for (const auto& it : m_load.kinds)
            wanted.levelsAboveLowest = std::max(wanted.levelsAboveLowest, it.priority);
        wanted.levelsAboveLowest -= kind.priority;
        m_policies[request.instance]->offer({ .id = id, .request = std::move(wanted), .target = kind.firstTarget, .patience = kind.patience }, now);
    }

    void comeBack(TimePoint now)
    {
        while (!m_returns.empty() && m_returns.begin()->first <= now) {
            const auto id = m_returns.begin()->second;
            m_returns.erase(m_returns.begin());
            auto& request = m_requests.at(id);
            request.instance = m_random.below(m_policies.size());
            offer(id, request, now);
        }
    }

    void carryOut(Policy& policy, TimePoint now)
    {
        for (const auto& it : policy.decide(now)) {
            const auto found = m_requests.find(it.id);
            if (found == m_requests.end())
                continue; // Its caller left while it waited.
            auto& request = found->second;
            if (it.kind == Verdict::Kind::Send) {
                request.isSent = true;
                request.engine = it.engine;
                m_engines[it.engine].submit({ .id = it.id, .prompt = request.prompt, .outputTokens = m_load.kinds[request.kind].outputTokens, .priority = m_load.kinds[request.kind].priority });
            } else if (request.attempts++ == 1) {
                m_returns.emplace(now + it.returnAfter, it.id);
            } else {
                ++m_outcome.kinds[m_load.kinds[request.kind].name].refused;
                m_requests.erase(found);
            }
        }
    }

    bool isOut(std::uint32_t engine) const
    {
        return std::any_of(m_load.outages.begin(), m_load.outages.end(), [&](const auto& it) { return m_second >= it.fromSecond && m_second < it.untilSecond && engine >= it.firstEngine && engine < it.firstEngine + it.engines; });
    }

    double slownessOf(std::uint32_t engine, TimePoint now) const
    {
        const auto spell = static_cast<std::uint64_t>(now.time_since_epoch() / slowSpell);
        SeededRandom random(spell * fine + engine + m_load.seed);
        return static_cast<double>(random.below(fine)) / fine < m_load.slowShare ? m_load.slowFactor : 1.0;
    }

    void runEngines(TimePoint now)
    {
        for (std::uint32_t i = 0; i < m_engines.size(); ++i) {
            if (isOut(i))
                continue;
            for (const auto& it : m_engines[i].advance(now, slownessOf(i, now)))
                takePiece(it);
        }
    }

    void takePiece(const EnginePiece& piece)
    {
        const auto found = m_requests.find(piece.id);
        if (found == m_requests.end())
            return;
        auto& request = found->second;
        const auto& kind = m_load.kinds[request.kind];
        if (piece.isFirst) {
            request.hasFirstPiece = true;
            request.isLate = piece.at - request.askedAt > kind.firstTarget;
            m_policies[request.instance]->firstPiece(piece.id, piece.at);
        } else {
            request.isLate = request.isLate || piece.at - request.lastPieceAt > kind.pauseTarget;
        }
        request.lastPieceAt = piece.at;
        if (!piece.isLast)
            return;
        auto& outcome = m_outcome.kinds[kind.name];
        ++(request.isLate ? outcome.late : outcome.inTarget);
        m_policies[request.instance]->end(piece.id, true, piece.at);
        m_requests.erase(found);
    }

    void leave(TimePoint now)
    {
        for (auto it = m_requests.begin(); it != m_requests.end();) {
            const auto& request = it->second;
            const auto& kind = m_load.kinds[request.kind];
            if (request.hasFirstPiece || now - request.askedAt < kind.patience) {
                ++it;
                continue;
            }
            if (request.isSent) {
                m_engines[request.engine].cancel(it->first);
                m_policies[request.instance]->end(it->first, false, now);
            }
            std::erase_if(m_returns, [id = it->first](const auto& entry) { return entry.second == id; });
            ++m_outcome.kinds[kind.name].abandoned;
            it = m_requests.erase(it);
        }
    }

    void tell(TimePoint now)
    {
        Told told { .at = now, .uses = {}, .kept = {} };
        for (std::size_t i = 0; i < m_policies.size(); ++i) {
            told.uses[i] = m_policies[i]->localUsage();
            const auto kept = m_policies[i]->takeKeptPrompts();
            told.kept.insert(told.kept.end(), kept.begin(), kept.end());
        }
        m_told.push_back(std::move(told));
    }

    void hear(TimePoint now)
    {
        while (!m_told.empty() && m_told.front().at + m_tellDelay <= now) {
            const auto told = std::move(m_told.front());
            m_told.pop_front();
            std::map<BackendId, ServerUsage> total;
            for (const auto& [instance, uses] : told.uses) {
                for (const auto& [id, use] : uses)
                    add(total[id], use, 1);
            }
            for (std::size_t i = 0; i < m_policies.size(); ++i) {
                auto others = total;
                for (const auto& [id, use] : told.uses.at(i))
                    add(others[id], use, -1);
                m_policies[i]->takeOtherUse(others, now);
                m_policies[i]->noteKeptPrompts(told.kept, now);
            }
        }
    }

    static void add(ServerUsage& to, const ServerUsage& use, int sign)
    {
        const auto sum = [sign](std::uint32_t& a, std::uint32_t b) { a = sign > 0 ? a + b : a - b; };
        sum(to.requests, use.requests);
        sum(to.promptTokens, use.promptTokens);
        sum(to.interactive, use.interactive);
    }

    const Load& m_load;
    SeededRandom m_random;
    Duration m_tellDelay;
    std::vector<EngineModel> m_engines;
    std::set<std::uint64_t> m_readBefore; // Hashes of shared parts; the engines add to it.
    std::vector<std::unique_ptr<Policy>> m_policies; // One an instance.
    std::map<std::uint64_t, Request> m_requests; // Not yet ended, by id.
    std::multimap<TimePoint, std::uint64_t> m_returns; // Of requests that were refused once.
    std::deque<Told> m_told; // Not yet heard, oldest first.
    std::map<std::size_t, double> m_due; // Requests of each kind; a whole one is asked.
    std::uint64_t m_lastId = 0;
    double m_second = 0; // Since the start.
    Outcome m_outcome;
};

} // namespace

double Outcome::shareInTarget() const
{
    KindOutcome all;
    for (const auto& [name, it] : kinds) {
        all.asked += it.asked;
        all.inTarget += it.inTarget;
    }
    return all.shareInTarget();
}

Outcome replay(const Load& load, const std::string& policy, bool seesAll)
{
    return Simulation(load, policy, seesAll).run();
}

} // namespace HickoryHollow::Replay
