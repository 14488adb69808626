#include "forwarding/RouteDurations.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace HickoryHollow {

namespace {

constexpr Duration firstUpperBound = std::chrono::milliseconds(1);
// A server that has become slower or faster is known by its present durations after two periods at the latest.
constexpr std::chrono::minutes period(5);

} // namespace

std::size_t RouteDurations::bucketOf(Duration duration)
{
    if (duration <= firstUpperBound)
        return 0;
    const auto ratio = std::chrono::duration<double>(duration) / std::chrono::duration<double>(firstUpperBound);
    return std::min(static_cast<std::size_t>(std::ceil(2 * std::log2(ratio))), bucketCount - 1);
}

Duration RouteDurations::upperBound(std::size_t bucket)
{
    return std::chrono::duration_cast<Duration>(firstUpperBound * std::exp2(static_cast<double>(bucket) / 2));
}

void RouteDurations::add(const RouteId& route, Duration duration, TimePoint now)
{
    if (m_records.size() >= maxRoutes && !m_records.contains(route))
        m_records.clear();
    auto& record = m_records.try_emplace(route, Record { .startedAt = now }).first->second;
    const auto age = now - record.startedAt;
    if (age >= period) {
        record.last = age < 2 * period ? record.present : Buckets {};
        record.present = {};
        record.startedAt = now;
    }
    ++record.present[bucketOf(duration)];
}

const RouteDurations::Record* RouteDurations::find(const RouteId& route, TimePoint now) const
{
    const auto it = m_records.find(route);
    return it == m_records.end() || now - it->second.startedAt >= 2 * period ? nullptr : &it->second;
}

std::uint64_t RouteDurations::countOf(const Record& record)
{
    const auto sum = [](const Buckets& buckets) { return std::accumulate(buckets.begin(), buckets.end(), std::uint64_t {}); };
    return sum(record.present) + sum(record.last);
}

std::uint64_t RouteDurations::count(const RouteId& route, TimePoint now) const
{
    const auto* record = find(route, now);
    return record ? countOf(*record) : 0;
}

std::optional<Duration> RouteDurations::quantile(const RouteId& route, double share, std::uint64_t minRequests, TimePoint now) const
{
    const auto* record = find(route, now);
    const auto total = record ? countOf(*record) : 0;
    if (total == 0 || total < minRequests)
        return std::nullopt;
    const auto wanted = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(total)));
    std::uint64_t n = 0;
    for (std::size_t i = 0; i + 1 < bucketCount; ++i) {
        n += record->present[i] + record->last[i];
        if (n >= wanted)
            return upperBound(i);
    }
    return Duration::max(); // The last bucket has no upper bound.
}

} // namespace HickoryHollow
