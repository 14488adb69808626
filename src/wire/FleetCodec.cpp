#include "wire/FleetCodec.h"

#include "base/LogEvent.h"
#include "wire/Signed.h"
#include "wire/gen/hickoryhollow_types.h"

#include <algorithm>
#include <map>
#include <optional>
#include <xxhash.h>

namespace HickoryHollow {

namespace {

constexpr Duration maxAge = std::chrono::hours(1); // An older load says nothing; a larger number would overflow.

/** Hash that stands for a backend server in a PeerLoad. It is part of the protocol: all instances must compute the same. */
std::int32_t hashOf(const BackendId& id)
{
    return static_cast<std::int32_t>(XXH32(id.value().data(), id.value().size(), 0));
}

Wire::BackendRecord recordToWire(const BackendRecord& record)
{
    Wire::BackendRecord wire;
    wire.id = record.id.value();
    wire.incarnation = toSigned(record.incarnation.value());
    wire.sequence = toSigned(record.sequence);
    wire.state = static_cast<std::int32_t>(record.state);
    wire.serviceName = record.service.value();
    for (const auto& it : record.models)
        wire.models.push_back(it.value());
    wire.failureDomain = record.failureDomain.value();
    wire.slots = static_cast<std::int32_t>(record.slots);
    wire.capabilities.priorities = record.capabilities.priorities;
    wire.capabilities.resume = record.capabilities.resume;
    wire.capabilities.cancel = record.capabilities.cancel;
    wire.capabilities.checksFencing = record.capabilities.checksFencing;
    if (!record.serverName.empty())
        wire.__set_serverName(record.serverName);
    if (!record.softwareVersion.value().empty())
        wire.__set_softwareVersion(record.softwareVersion.value());
    if (record.isReclaimable)
        wire.__set_isReclaimable(true);
    if (record.leavesIn)
        wire.__set_leavesInMs(*record.leavesIn / std::chrono::milliseconds(1));
    return wire;
}

/** Nothing if the state is none that this version knows: the record can't be acted on, and the others hold. */
std::optional<BackendRecord> recordFromWire(const Wire::BackendRecord& wire)
{
    const auto isKnown = wire.state == static_cast<std::int32_t>(BackendState::Serving) || wire.state == static_cast<std::int32_t>(BackendState::Lapsed) || wire.state == static_cast<std::int32_t>(BackendState::Leaving);
    if (!isKnown || wire.id.empty()) {
        logEvent(LogEvent::AnnouncementIgnored, "server={} address={} state={} cause=unreadable-record", wire.serverName, wire.id, wire.state);
        return std::nullopt;
    }
    BackendRecord record;
    record.id = BackendId(wire.id);
    record.incarnation = Incarnation(toUnsigned(wire.incarnation));
    record.sequence = toUnsigned(wire.sequence);
    record.state = static_cast<BackendState>(wire.state);
    record.service = ServiceId(wire.serviceName);
    record.serverName = wire.serverName;
    record.softwareVersion = SoftwareVersion(wire.softwareVersion);
    for (const auto& it : wire.models)
        record.models.emplace_back(it);
    record.failureDomain = FailureDomainId(wire.failureDomain);
    record.slots = static_cast<std::uint32_t>(wire.slots);
    record.isReclaimable = wire.__isset.isReclaimable && wire.isReclaimable;
    if (wire.__isset.leavesInMs)
        record.leavesIn = std::chrono::milliseconds(std::clamp<std::int64_t>(wire.leavesInMs, 0, maxAge / std::chrono::milliseconds(1)));
    record.capabilities = { .priorities = wire.capabilities.priorities, .resume = wire.capabilities.resume, .cancel = wire.capabilities.cancel, .checksFencing = wire.capabilities.checksFencing };
    return record;
}

} // namespace

Wire::PeerLoad toWire(const PeerLoad& load)
{
    Wire::PeerLoad wire;
    for (const auto& it : load.inFlight) {
        auto& encoded = wire.inFlight.emplace_back();
        encoded.backend = hashOf(it.backend);
        encoded.running = static_cast<std::int32_t>(it.running);
        encoded.longRunning = static_cast<std::int32_t>(it.longRunning);
    }
    for (const auto& it : load.waiting) {
        auto& encoded = wire.waiting.emplace_back();
        encoded.pool = it.pool.value();
        encoded.tier = static_cast<std::int32_t>(it.tier.value());
    }
    return wire;
}

PeerLoad fromWire(const Wire::PeerLoad& wire, const std::vector<BackendId>& known)
{
    std::map<std::int32_t, BackendId> backends;
    for (const auto& it : known)
        backends.emplace(hashOf(it), it);
    PeerLoad load;
    for (const auto& it : wire.inFlight) {
        const auto backend = backends.find(it.backend);
        if (backend != backends.end())
            load.inFlight.push_back({ .backend = backend->second, .running = static_cast<std::uint32_t>(it.running), .longRunning = static_cast<std::uint32_t>(it.longRunning) });
    }
    for (const auto& it : wire.waiting)
        load.waiting.push_back({ .pool = PoolId(it.pool), .tier = Tier(static_cast<std::uint32_t>(it.tier)) });
    return load;
}

Wire::FleetNews toWire(const FleetUpdate& update)
{
    Wire::FleetNews wire;
    for (const auto& it : update.records)
        wire.records.push_back(recordToWire(it));
    for (const auto& it : update.renewals) {
        auto& encoded = wire.renewals.emplace_back();
        encoded.id = it.id.value();
        encoded.incarnation = toSigned(it.incarnation.value());
        encoded.sequence = toSigned(it.sequence);
    }
    for (const auto& it : update.loads) {
        auto& encoded = wire.loads.emplace_back();
        encoded.id = it.id.value();
        encoded.incarnation = toSigned(it.incarnation.value());
        encoded.running = static_cast<std::int32_t>(it.running);
        encoded.ageMicroseconds = it.age.count();
    }
    return wire;
}

FleetUpdate fromWire(const Wire::FleetNews& wire)
{
    FleetUpdate update;
    for (const auto& it : wire.records) {
        if (auto record = recordFromWire(it))
            update.records.push_back(std::move(*record));
    }
    for (const auto& it : wire.renewals)
        update.renewals.push_back({ .id = BackendId(it.id), .incarnation = Incarnation(toUnsigned(it.incarnation)), .sequence = toUnsigned(it.sequence) });
    for (const auto& it : wire.loads)
        update.loads.push_back({ .id = BackendId(it.id), .incarnation = Incarnation(toUnsigned(it.incarnation)), .running = static_cast<std::uint32_t>(it.running), .age = std::clamp(Duration(it.ageMicroseconds), Duration::zero(), maxAge) });
    return update;
}

} // namespace HickoryHollow
