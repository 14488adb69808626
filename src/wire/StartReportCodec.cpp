#include "wire/StartReportCodec.h"

#include "wire/Signed.h"
#include "wire/gen/hickoryhollow_types.h"

#include <algorithm>
#include <limits>

namespace HickoryHollow {

namespace {

constexpr std::int64_t maxStarts = 10'000'000; // Of one workspace in one window at one entry instance, which serves some 100 a second.
constexpr std::int64_t maxTokens = 1'000'000'000'000;

std::int32_t fromCount(std::uint32_t n)
{
    return static_cast<std::int32_t>(std::min<std::uint32_t>(n, std::numeric_limits<std::int32_t>::max()));
}

std::uint32_t toCount(std::int32_t n)
{
    return static_cast<std::uint32_t>(std::max(n, 0));
}

} // namespace

Wire::StartReport toWire(const StartReport& report)
{
    Wire::StartReport wire;
    wire.counts.reserve(report.counts.size());
    for (const auto& it : report.counts) {
        auto& counts = wire.counts.emplace_back();
        counts.instance = it.instance.value();
        counts.incarnation = toSigned(it.incarnation.value());
        counts.starts.reserve(it.starts.size());
        for (const auto& [start, n] : it.starts) {
            auto& starts = counts.starts.emplace_back();
            starts.window = toSigned(start.first.value());
            starts.workspace = start.second.value();
            starts.starts = toSigned(n);
        }
    }
    if (!report.passOnTo.empty()) {
        std::vector<std::string> passOnTo;
        for (const auto& it : report.passOnTo)
            passOnTo.push_back(it.value());
        wire.__set_passOnTo(passOnTo);
    }
    return wire;
}

StartReport fromWire(const Wire::StartReport& wire)
{
    StartReport report;
    report.counts.reserve(wire.counts.size());
    for (const auto& it : wire.counts) {
        auto& counts = report.counts.emplace_back(StartCounts { .instance = InstanceId(it.instance), .incarnation = Incarnation(toUnsigned(it.incarnation)), .starts = {} });
        for (const auto& start : it.starts) {
            if (start.window >= 0 && start.starts > 0 && start.starts <= maxStarts)
                counts.starts[{ UsageWindow(toUnsigned(start.window)), WorkspaceId(start.workspace) }] = toUnsigned(start.starts);
        }
    }
    for (const auto& it : wire.passOnTo)
        report.passOnTo.emplace(it);
    return report;
}

Wire::DemandReport toWire(const std::vector<ServiceDemand>& demands)
{
    Wire::DemandReport wire;
    wire.demands.reserve(demands.size());
    for (const auto& it : demands) {
        auto& demand = wire.demands.emplace_back();
        demand.serviceName = it.service.value();
        demand.arrivals = fromCount(it.arrivals);
        demand.promptTokens = std::min(toSigned(it.promptTokens), maxTokens);
        demand.refused = fromCount(it.refused);
        demand.waiting = fromCount(it.waiting);
    }
    return wire;
}

std::vector<ServiceDemand> fromWire(const Wire::DemandReport& wire)
{
    std::vector<ServiceDemand> demands;
    demands.reserve(wire.demands.size());
    for (const auto& it : wire.demands)
        demands.push_back({ .service = ServiceId(it.serviceName), .arrivals = toCount(it.arrivals), .promptTokens = toUnsigned(std::clamp<std::int64_t>(it.promptTokens, 0, maxTokens)), .refused = toCount(it.refused), .waiting = toCount(it.waiting) });
    return demands;
}

} // namespace HickoryHollow
