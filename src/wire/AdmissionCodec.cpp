#include "wire/AdmissionCodec.h"

#include "wire/gen/hickoryhollow_types.h"

#include <algorithm>

namespace HickoryHollow {

namespace {

constexpr std::int32_t maxEnded = 1'000'000; // Of one class between two reports, which are some hundred milliseconds apart.
constexpr std::int64_t maxMeanMs = 600'000; // Above every timeout of a caller.
constexpr std::int64_t maxMeanRequests = 100'000; // At one engine.
constexpr std::int64_t thousandths = 1000;

bool isPossible(const Wire::ClassCompletions& wire)
{
    return wire.priority >= 0 && wire.ended > 0 && wire.ended <= maxEnded && wire.tookMs >= 0 && wire.tookMs / wire.ended <= maxMeanMs && wire.leastMs >= 0 && wire.leastMs <= wire.tookMs
        && wire.requests >= thousandths * wire.ended && wire.requests / wire.ended <= maxMeanRequests * thousandths;
}

} // namespace

Wire::AdmissionReport toWire(const std::vector<ClassCompletions>& completions)
{
    std::vector<Wire::ClassCompletions> list;
    list.reserve(completions.size());
    for (const auto& it : completions) {
        auto& wire = list.emplace_back();
        wire.serviceName = it.service.value();
        wire.priority = static_cast<std::int32_t>(it.priority);
        wire.ended = static_cast<std::int32_t>(std::min<std::uint32_t>(it.ended, maxEnded));
        wire.tookMs = it.took / std::chrono::milliseconds(1);
        wire.requests = static_cast<std::int64_t>(it.requests * thousandths);
        wire.leastMs = it.least / std::chrono::milliseconds(1);
    }
    Wire::AdmissionReport report;
    report.completions = std::move(list);
    report.__isset.completions = true;
    return report;
}

std::vector<ClassCompletions> fromWire(const Wire::AdmissionReport& wire)
{
    std::vector<ClassCompletions> completions;
    for (const auto& it : wire.completions) {
        if (isPossible(it))
            completions.push_back({ .service = ServiceId(it.serviceName), .priority = static_cast<std::uint32_t>(it.priority), .ended = static_cast<std::uint32_t>(it.ended), .took = std::chrono::milliseconds(it.tookMs), .requests = static_cast<double>(it.requests) / thousandths, .least = std::chrono::milliseconds(it.leastMs) });
    }
    return completions;
}

} // namespace HickoryHollow
