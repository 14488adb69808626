#include "soak/ServerCuts.h"

#include "base/SeededRandom.h"
#include "soak/Clients.h"
#include "soak/Shuffle.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <fmt/format.h>
#include <iostream>
#include <iterator>
#include <map>
#include <mutex>
#include <set>
#include <stdexcept>
#include <thread>
#include <vector>

namespace HickoryHollow::Soak {

namespace {

using namespace std::chrono_literals;

constexpr auto contactTime = 3s; // `contact-ms` of the users' rules: from then on tries count.
constexpr auto cutTime = 7s;
constexpr auto timeLimit = 2000ms;
constexpr auto clientTimeout = timeLimit + 200ms; // For the answer at the limit to arrive.
constexpr auto sendInterval = 2400ms; // Of one caller; longer than a request may take, so that tries do not thin out in a cut.
constexpr auto healTime = 2500ms; // Until the tries of the cut have ended and links are in use again.
constexpr int callersPerEntry = 24;

/** First tries on kept connections, which stay with their instance whatever it tells the balancer. */
class FirstTries {
public:
    struct Try {
        int entry = 0;
        Clock::time_point sentAt {};
        unsigned status = 0;
    };

    FirstTries(const Deployment& deployment, GuaranteeChecker& checker, std::uint64_t seed)
        : m_checker(checker)
    {
        const auto callers = callersPerEntry * deployment.pathCount();
        for (int i = 0; i < callers; ++i)
            m_threads.emplace_back([this, &deployment, i, callers, seed] { run(deployment, i, Clock::now() + sendInterval * i / callers, seed); });
    }
    ~FirstTries()
    {
        m_isStopping = true;
        for (auto& it : m_threads)
            it.join();
    }
    FirstTries(const FirstTries&) = delete;
    FirstTries& operator=(const FirstTries&) = delete;

    /** Those that were sent from `begin` to `end` and have ended. */
    std::vector<Try> sentWithin(Clock::time_point begin, Clock::time_point end) const
    {
        const std::lock_guard guard(m_mutex);
        std::vector<Try> found;
        std::copy_if(m_tries.begin(), m_tries.end(), std::back_inserter(found), [&](const auto& it) { return it.sentAt >= begin && it.sentAt < end; });
        return found;
    }

private:
    void run(const Deployment& deployment, int number, Clock::time_point next, std::uint64_t seed)
    {
        SeededRandom random(seed * 1000 + static_cast<std::uint64_t>(number));
        const auto entry = number % deployment.pathCount();
        BlockingHttpClient client(deployment.callerAddress(entry), clientTimeout);
        for (int request = 0; !m_isStopping; ++request, next += sendInterval) {
            while (!m_isStopping && Clock::now() < next)
                std::this_thread::sleep_for(10ms);
            const Try result { .entry = entry, .sentAt = Clock::now(), .status = Callers::request(client, m_checker, fmt::format("s-cut-{}-{}", number, request), static_cast<RequestKind>(random.below(3)), timeLimit) };
            const std::lock_guard guard(m_mutex);
            m_tries.push_back(result);
        }
    }

    GuaranteeChecker& m_checker;
    std::atomic<bool> m_isStopping = false;
    mutable std::mutex m_mutex; // Guards the tries.
    std::vector<Try> m_tries;
    std::vector<std::thread> m_threads;
};

struct Counts {
    std::size_t sent = 0;
    std::size_t served = 0;
    std::map<unsigned, int> statuses;
};

std::string describe(const Counts& counts)
{
    std::string statuses;
    for (const auto& [status, n] : counts.statuses)
        statuses += fmt::format("{}{} x {}", statuses.empty() ? "" : ", ", status == 0 ? "none" : std::to_string(status), n);
    return fmt::format("{} of {} served ({})", counts.served, counts.sent, statuses);
}

// The bound of the users' rule.
void judge(const std::vector<FirstTries::Try>& tries, const std::set<int>& cut, const std::string& name, GuaranteeChecker& checker)
{
    Counts there;
    Counts elsewhere;
    for (const auto& it : tries) {
        auto& counts = cut.contains(it.entry) ? there : elsewhere;
        ++counts.sent;
        counts.served += it.status == 200 ? 1 : 0;
        ++counts.statuses[it.status];
    }
    const auto unserved = there.sent - there.served;
    const auto allowed = 10 + tries.size() / 50;
    const auto isLessOften = 3 * there.served * elsewhere.sent < 2 * elsewhere.served * there.sent;
    const auto text = fmt::format("{}: there {}, elsewhere {}, {} unserved tries allowed", name, describe(there), describe(elsewhere), allowed);
    std::cout << "first tries, " << text << std::endl;
    if (isLessOften && unserved > allowed)
        checker.recordViolation("instances that reach no server serve their callers", text);
}

} // namespace

void checkServerCuts(Deployment& deployment, GuaranteeChecker& checker, std::uint64_t seed)
{
    SeededRandom random(seed);
    std::array ways { LinkFault::CutSilently, LinkFault::CutReset, LinkFault::CutNew };
    shuffle(ways, random);
    const FirstTries tries(deployment, checker, seed);
    std::this_thread::sleep_for(sendInterval);
    for (const auto way : ways) {
        const auto one = static_cast<int>(random.below(static_cast<std::uint64_t>(deployment.pathCount())));
        const auto cutsOthers = random.below(2) == 0;
        std::set<int> cut;
        for (int entry = 0; entry < deployment.pathCount(); ++entry) {
            if (!deployment.usesServerLinks(entry))
                throw std::runtime_error(fmt::format("entry instance {} does not use its own links to the backend servers", entry));
            if ((entry == one) != cutsOthers)
                cut.insert(entry);
        }
        const auto begin = Clock::now();
        for (const auto entry : cut)
            deployment.setServerLinks(entry, way);
        std::this_thread::sleep_for(cutTime);
        const auto end = Clock::now();
        for (const auto entry : cut)
            deployment.setServerLinks(entry, LinkFault::None);
        std::this_thread::sleep_for(healTime);
        judge(tries.sentWithin(begin + contactTime, end), cut, fmt::format("{} entry instance {} {}", cutsOthers ? "all but" : "only", one, toString(way)), checker);
    }
}

} // namespace HickoryHollow::Soak
