#include "scheduling/WorkspaceLimiter.h"

#include "base/Check.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

constexpr double microsecondsPerSecond = 1e6;
constexpr Duration concurrencyRetryAfter = std::chrono::seconds(1);

} // namespace

std::optional<Duration> WorkspaceLimiter::tryEnter(const WorkspaceId& workspace, const WorkspaceLimits& limits, TimePoint now)
{
    auto& usage = m_usage[workspace];
    if (limits.maxConcurrent != 0 && usage.concurrent >= limits.maxConcurrent)
        return concurrencyRetryAfter;
    if (limits.requestsPerSecond != 0) {
        const double rate = limits.requestsPerSecond;
        const auto refill = static_cast<double>((now - usage.refilledAt).count()) / microsecondsPerSecond * rate;
        usage.permits = usage.isNew ? rate : std::min(rate, usage.permits + refill);
        usage.refilledAt = now;
        usage.isNew = false;
        if (usage.permits < 1)
            return Duration(static_cast<Duration::rep>((1 - usage.permits) / rate * microsecondsPerSecond) + 1);
        usage.permits -= 1;
    }
    ++usage.concurrent;
    return std::nullopt;
}

void WorkspaceLimiter::leave(const WorkspaceId& workspace)
{
    auto& usage = m_usage[workspace];
    internalAssert(usage.concurrent > 0, "a request that leaves a workspace was admitted to it and leaves once");
    --usage.concurrent;
}

} // namespace HickoryHollow
