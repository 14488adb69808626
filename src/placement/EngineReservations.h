/** \file
 * Reserves engines of a service for its interactive requests: at least a quarter and at most half of the serving engines, and
 * none of a single one. Reads no clock.
 *
 * It answers interactive streams that pause whenever their engine prefills a long prompt.
 */
#pragma once

#include "placement/KnownServers.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace HickoryHollow {

/** Limits of each engine of one service. */
struct EngineCapacity {
    std::uint32_t slots = 1; ///< Number of requests that run at once.
    std::uint64_t tokenCapacity = 0; ///< Number of tokens that fit into its memory.
};

class EngineReservations {
public:
    /** Called for each server whose reservation changed. */
    using Changed = std::function<void(KnownServer&)>;

    explicit EngineReservations(Changed changed)
        : m_changed(std::move(changed))
    {
    }

    /** Reserves engines in exactly these services, from the next update on. */
    void setServices(const std::set<ServiceId>&);
    /** Returns true if engines of the service are reserved. */
    bool contains(const ServiceId& service) const { return m_reservations.contains(service); }
    std::vector<ServiceId> services() const;
    /**
     * Chooses the reserved engines of a service, where `interactive` requests run and these members of the group are ejected.
     * Touches all members only if some came, went or changed, or another number of engines is wanted.
     */
    void update(const ServiceId&, const ServerGroup&, const EngineCapacity&, std::uint64_t interactive, const std::set<ServerHandle>& ejected);

    /** Records that the server is about to leave its service. */
    void leaveService(KnownServer&);

private:
    struct Reservation {
        double averageInteractive = 0; ///< Moving average of the interactive requests in progress at all instances.
        std::vector<KnownServer*> engines; ///< Those that are reserved.
        std::vector<std::pair<std::uint64_t, KnownServer*>> byWeight; ///< Members of the group that serve, as of `revision`.
        std::uint64_t revision = 0; ///< ServerGroup::revision of the last update.
        std::set<ServerHandle> ejected; ///< As of the last update.
    };

    void assign(Reservation&, std::size_t n);
    void release(const Reservation&);

    Changed m_changed;
    std::map<ServiceId, Reservation> m_reservations; // Holds exactly the services that have interactive requests.
};

} // namespace HickoryHollow
