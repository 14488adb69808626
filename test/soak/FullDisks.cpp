#include "soak/FullDisks.h"

#include "base/SeededRandom.h"
#include "soak/Shuffle.h"

#include <fmt/format.h>
#include <iostream>
#include <numeric>
#include <thread>
#include <vector>

namespace HickoryHollow::Soak {

namespace {

using namespace std::chrono_literals;

constexpr auto shortestFull = 800ms;
constexpr std::uint64_t furtherFull = 2500; // Milliseconds, as the next.
constexpr std::uint64_t longestPause = 600; // Between two disks; often shorter than an instance takes to catch up.
constexpr auto watchInterval = 10ms;

/** Follows the operator's acknowledgements, and reports spans without one that exceed the bound, each once. */
class AcknowledgementWatch {
public:
    AcknowledgementWatch(Deployment& deployment, GuaranteeChecker& checker, const Operator& configurator, std::chrono::milliseconds bound)
        : m_deployment(deployment)
        , m_checker(checker)
        , m_operator(configurator)
        , m_bound(bound)
        , m_version(configurator.acknowledged())
    {
    }

    /** Number of changes that were acknowledged since the start. */
    int count() const { return m_count; }
    std::chrono::milliseconds longestSpan() const { return std::chrono::duration_cast<std::chrono::milliseconds>(m_longestSpan); }

    void watchFor(std::chrono::milliseconds time, const std::string& fault)
    {
        for (const auto end = Clock::now() + time; Clock::now() < end; std::this_thread::sleep_for(watchInterval))
            look(fault);
    }

    void look(const std::string& fault)
    {
        for (int i = 0; i < m_deployment.options().states; ++i) {
            if (!m_deployment.process(i).hasExited())
                continue;
            m_checker.recordViolation("daemons do not exit by themselves", fmt::format("n{} exited; {}", i, fault));
            m_deployment.restart(i);
        }
        const auto span = Clock::now() - m_since;
        m_longestSpan = std::max(m_longestSpan, span);
        if (span > m_bound && !std::exchange(m_isReported, true))
            m_checker.recordViolation("valid changes are accepted while one disk is full", fmt::format("none after version {} was acknowledged in {} ms; {}", m_version, m_bound.count(), fault));
        const auto version = m_operator.acknowledged();
        if (version == m_version)
            return;
        m_version = version;
        m_since = Clock::now();
        m_isReported = false;
        ++m_count;
    }

private:
    Deployment& m_deployment;
    GuaranteeChecker& m_checker;
    const Operator& m_operator;
    std::chrono::milliseconds m_bound;
    std::uint64_t m_version; // The newest acknowledged one.
    Clock::time_point m_since = Clock::now(); // Of that acknowledgement.
    Clock::duration m_longestSpan {};
    bool m_isReported = false; // Whether the present span was reported.
    int m_count = 0;
};

} // namespace

void checkFullDisks(Deployment& deployment, GuaranteeChecker& checker, const Operator& configurator, std::uint64_t seed, std::chrono::milliseconds acceptanceBound)
{
    SeededRandom random(seed);
    std::vector<int> order(static_cast<std::size_t>(deployment.options().states));
    std::iota(order.begin(), order.end(), 0);
    shuffle(order, random);
    AcknowledgementWatch watch(deployment, checker, configurator, acceptanceBound);
    for (const auto number : order) {
        const auto fault = fmt::format("the latest full disk is that of n{}", number);
        deployment.process(number).setDiskFull(true);
        watch.watchFor(shortestFull + std::chrono::milliseconds(random.below(furtherFull)), fault);
        deployment.process(number).setDiskFull(false);
        watch.watchFor(std::chrono::milliseconds(random.below(longestPause)), fault);
    }
    // The first of two acknowledgements may belong to a change that was submitted before.
    const auto before = watch.count();
    for (const auto end = Clock::now() + acceptanceBound + 1s; watch.count() < before + 2 && Clock::now() < end; std::this_thread::sleep_for(watchInterval))
        watch.look("no disk is full any more");
    std::cout << fmt::format("disks full one after another: {} changes acknowledged, the longest span without one {} ms\n", watch.count(), watch.longestSpan().count());
}

} // namespace HickoryHollow::Soak
