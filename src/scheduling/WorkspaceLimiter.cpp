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
        const auto earned = static_cast<double>((now - usage.refilledAt).count()) / microsecondsPerSecond * rate;
        usage.tokens = usage.isNew ? rate : std::min(rate, usage.tokens + earned);
        usage.refilledAt = now;
        usage.isNew = false;
        if (usage.tokens < 1)
            return Duration(static_cast<Duration::rep>((1 - usage.tokens) / rate * microsecondsPerSecond) + 1);
        usage.tokens -= 1;
    }
    ++usage.concurrent;
    return std::nullopt;
}

void WorkspaceLimiter::leave(const WorkspaceId& workspace)
{
    auto& usage = m_usage[workspace];
    internalAssert(usage.concurrent > 0, "a request leaves its workspace once");
    --usage.concurrent;
}

} // namespace HickoryHollow
