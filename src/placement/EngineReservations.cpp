#include "placement/EngineReservations.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace HickoryHollow {

namespace {

constexpr double reservedSlotShare = 0.35; // Share of an engine's slots up to which its steps remain short.
// Steps grow with the number of requests in the batch, not with the share of the slots: an engine of few slots may fill them.
constexpr double minReservedStreams = 17;
constexpr double maxReservedSlotShare = 0.75; // The rest of a small engine's slots is for bursts.
constexpr double roundingTolerance = 0.01; // In engines; keeps a rounding error from reserving one engine more.
constexpr double risingWeight = 0.5; // Weight of the newest count, twice a second.
constexpr double fallingWeight = 0.05; // Moving an engine between the groups wastes its cache, so it is released slowly.
constexpr std::uint64_t reservationHashSeed = 0x9e3779b97f4a7c15ULL; // Arbitrary, but the same at every instance.

/** Returns the number of interactive streams that one reserved engine takes. */
double reservedStreams(std::uint32_t engineSlots)
{
    const auto slots = std::max(1U, engineSlots);
    return std::min(std::max(reservedSlotShare * slots, minReservedStreams), maxReservedSlotShare * slots);
}

} // namespace

void EngineReservations::setServices(const std::set<ServiceId>& services)
{
    std::erase_if(m_reservations, [&](const auto& it) {
        if (services.contains(it.first))
            return false;
        release(it.second);
        return true;
    });
    for (const auto& it : services)
        m_reservations.try_emplace(it);
}

std::vector<ServiceId> EngineReservations::services() const
{
    std::vector<ServiceId> services;
    for (const auto& [service, reservation] : m_reservations)
        services.push_back(service);
    return services;
}

void EngineReservations::update(const ServiceId& service, const ServerGroup& group, const EngineCapacity& limits, std::uint64_t interactive, const std::set<ServerHandle>& ejected)
{
    auto& reservation = m_reservations[service];
    const auto active = static_cast<double>(interactive);
    const auto serving = group.serving - ejected.size();
    const auto streams = reservedStreams(limits.slots);
    const auto isRising = active > reservation.averageInteractive;
    reservation.averageInteractive += (isRising ? risingWeight : fallingWeight) * (active - reservation.averageInteractive);
    // Before the first requests, a third of the engines is assumed: moving engines later would waste their caches.
    if (reservation.engines.empty())
        reservation.averageInteractive = streams * static_cast<double>(serving) / 3;
    const auto wanted = static_cast<std::size_t>(std::ceil(reservation.averageInteractive / streams - roundingTolerance));
    const auto least = std::max<std::size_t>(serving / 4, 1);
    const auto n = std::min(std::max(wanted, least), serving / 2);
    if (reservation.revision == group.revision && reservation.ejected == ejected && reservation.engines.size() == n)
        return;
    if (reservation.revision != group.revision) {
        reservation.revision = group.revision;
        reservation.byWeight.clear();
        for (auto* it : group.members) {
            const auto& id = it->record.id.value();
            if (it->record.state == BackendState::Serving)
                reservation.byWeight.emplace_back(XXH64(id.data(), id.size(), reservationHashSeed), it);
        }
        std::sort(reservation.byWeight.begin(), reservation.byWeight.end(), [](const auto& a, const auto& b) {
            return a.first != b.first ? a.first > b.first : a.second->record.id > b.second->record.id;
        });
    }
    reservation.ejected = ejected;
    assign(reservation, n);
}

void EngineReservations::assign(Reservation& reservation, std::size_t n)
{
    std::vector<KnownServer*> engines;
    for (auto it = reservation.byWeight.begin(); it != reservation.byWeight.end() && engines.size() < n; ++it) {
        if (!reservation.ejected.contains(it->second->handle))
            engines.push_back(it->second);
    }
    const auto former = std::exchange(reservation.engines, engines);
    for (auto* it : former)
        it->isReserved = false;
    for (auto* it : engines) {
        it->isReserved = true;
        m_changed(*it);
    }
    for (auto* it : former) {
        if (!it->isReserved)
            m_changed(*it);
    }
}

void EngineReservations::leaveService(KnownServer& server)
{
    server.isReserved = false;
    if (const auto it = m_reservations.find(server.record.service); it != m_reservations.end())
        std::erase(it->second.engines, &server);
}

void EngineReservations::release(const Reservation& reservation)
{
    for (auto* it : reservation.engines) {
        it->isReserved = false;
        m_changed(*it);
    }
}

} // namespace HickoryHollow
