#include "wire/LimitCodec.h"

#include "wire/Milliseconds.h"
#include "wire/Signed.h"
#include "wire/gen/hickoryhollow_types.h"

namespace HickoryHollow {

namespace {

constexpr std::int32_t maxCount = 100'000; // Permits of one item; a sender that names more is broken.

std::uint32_t toCount(std::int32_t n)
{
    return static_cast<std::uint32_t>(std::clamp(n, 0, maxCount));
}

std::int32_t fromCount(std::uint32_t n)
{
    return static_cast<std::int32_t>(std::min<std::uint32_t>(n, maxCount));
}

Wire::ServerLimit toWire(const ServerLimit& limit)
{
    Wire::ServerLimit wire;
    wire.server = toSigned(limit.server.value());
    if (limit.rate)
        wire.__set_rate(static_cast<std::int32_t>(std::min(*limit.rate, maxRequestRate).value()));
    wire.ageMs = toMilliseconds(limit.age);
    return wire;
}

ServerLimit fromWire(const Wire::ServerLimit& wire)
{
    ServerLimit limit { .server = ServerStartId(toUnsigned(wire.server)), .rate = std::nullopt, .age = fromMilliseconds(wire.ageMs) };
    if (wire.__isset.rate)
        limit.rate = std::clamp(RequestRate(static_cast<std::uint32_t>(std::max(wire.rate, 0))), minRequestRate, maxRequestRate);
    return limit;
}

std::vector<std::int32_t> toWire(const PermitCounts& counts)
{
    std::vector<std::int32_t> wire(counts.size());
    std::transform(counts.begin(), counts.end(), wire.begin(), fromCount);
    while (!wire.empty() && wire.back() == 0)
        wire.pop_back();
    return wire;
}

PermitCounts fromWire(const std::vector<std::int32_t>& wire)
{
    PermitCounts counts {};
    const auto n = std::min(wire.size(), counts.size());
    std::transform(wire.begin(), wire.begin() + static_cast<std::ptrdiff_t>(n), counts.begin(), toCount);
    return counts;
}

Wire::SlotDemand toWire(const SlotDemand& demand)
{
    Wire::SlotDemand wire;
    wire.limit = toWire(demand.limit);
    wire.slots = fromCount(demand.slots);
    wire.running = fromCount(demand.running);
    wire.wanted = fromCount(demand.wanted);
    if (demand.grant > 0)
        wire.__set_grant(toSigned(demand.grant));
    if (demand.rejected > 0)
        wire.__set_rejected(fromCount(demand.rejected));
    if (demand.starved > Duration::zero())
        wire.__set_starvedMs(toMilliseconds(demand.starved));
    if (demand.isNewStart)
        wire.__set_isNewStart(true);
    return wire;
}

SlotDemand fromWire(const Wire::SlotDemand& wire)
{
    return {
        .limit = fromWire(wire.limit),
        .slots = toCount(wire.slots),
        .running = toCount(wire.running),
        .wanted = toCount(wire.wanted),
        .grant = toUnsigned(wire.grant),
        .rejected = toCount(wire.rejected),
        .starved = fromMilliseconds(wire.starvedMs),
        .isNewStart = wire.isNewStart,
    };
}

Wire::SlotGrant toWire(const SlotGrant& grant)
{
    Wire::SlotGrant wire;
    wire.limit = toWire(grant.limit);
    wire.slots = fromCount(grant.slots);
    wire.leased = fromCount(grant.leased);
    if (grant.number > 0)
        wire.__set_number(toSigned(grant.number));
    return wire;
}

SlotGrant fromWire(const Wire::SlotGrant& wire)
{
    return { .limit = fromWire(wire.limit), .slots = toCount(wire.slots), .leased = toCount(wire.leased), .number = toUnsigned(wire.number) };
}

} // namespace

Wire::LimitReport toWire(const LimitReport& report)
{
    Wire::LimitReport wire;
    for (const auto& it : report.demands) {
        auto& demand = wire.demands.emplace_back();
        demand.limit = toWire(it.limit);
        demand.wanted = toWire(it.wanted);
        demand.unused = fromCount(it.unused);
    }
    if (report.slots.empty())
        return wire;
    std::vector<Wire::SlotDemand> slots;
    for (const auto& it : report.slots)
        slots.push_back(toWire(it));
    wire.__set_slots(slots);
    return wire;
}

LimitReport fromWire(const Wire::LimitReport& wire)
{
    LimitReport report;
    for (const auto& it : wire.demands)
        report.demands.push_back({ .limit = fromWire(it.limit), .wanted = fromWire(it.wanted), .unused = toCount(it.unused) });
    for (const auto& it : wire.slots)
        report.slots.push_back(fromWire(it));
    return report;
}

Wire::LimitUpdate toWire(const LimitUpdate& update)
{
    Wire::LimitUpdate wire;
    for (const auto& it : update.grants) {
        auto& grant = wire.grants.emplace_back();
        grant.limit = toWire(it.limit);
        grant.permits = toWire(it.permits);
        grant.wantedByAll = fromCount(it.wantedByAll);
    }
    if (!update.leasesSlots)
        return wire;
    std::vector<Wire::SlotGrant> slots;
    for (const auto& it : update.slots)
        slots.push_back(toWire(it));
    wire.__set_slots(slots);
    return wire;
}

LimitUpdate fromWire(const Wire::LimitUpdate& wire)
{
    LimitUpdate update;
    for (const auto& it : wire.grants)
        update.grants.push_back({ .limit = fromWire(it.limit), .permits = fromWire(it.permits), .wantedByAll = toCount(it.wantedByAll) });
    update.leasesSlots = wire.__isset.slots;
    for (const auto& it : wire.slots)
        update.slots.push_back(fromWire(it));
    return update;
}

} // namespace HickoryHollow
