/** \file
 * The addresses of state instances that a process knows: seeds from its settings, and addresses that other instances
 * advertised. Performs no I/O and reads no clock.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace HickoryHollow {

/** Address on which a state instance accepts links. The address also identifies it among the state instances. */
struct StateAddress {
    InstanceId listen; ///< `ip:port`.
    FailureDomainId failureDomain; ///< Empty if it is known from a seed only.

    bool operator==(const StateAddress&) const = default;
};

class StateAddresses {
public:
    struct Options {
        InstanceId self; ///< This process's own address, which is never listed; empty on an entry instance.
        /** An address that was neither advertised nor connected for longer is forgotten, unless it is a seed. */
        Duration forgetAfter = std::chrono::seconds(60);
    };

    explicit StateAddresses(Options);

    /** Replaces the seeds. Former seeds stay known until they are forgotten like any other address. */
    void setSeeds(const std::vector<InstanceId>&, TimePoint now);
    /** Records an address that another instance advertised, which it does for addresses that it had a link to lately. */
    void learn(const StateAddress&, TimePoint now);
    /** Records that a link to the address is open at `now`. Ignored if the address is unknown. */
    void markConnected(const InstanceId&, TimePoint now);
    /** Forgets stale addresses; see Options::forgetAfter. */
    void forgetStale(TimePoint now);

    std::vector<StateAddress> all() const;
    bool contains(const InstanceId& id) const { return m_entries.contains(id); }
    /** Returns the addresses that this process had a link to within the last `maxAge`. */
    std::vector<StateAddress> connectedWithin(Duration maxAge, TimePoint now) const;
    /**
     * Returns all addresses in the order in which an entry instance should try to attach to them: those in its failure
     * domain first, and otherwise in an order that depends on `seed`.
     */
    std::vector<InstanceId> attachmentOrder(const FailureDomainId&, std::uint64_t seed) const;
    /** Returns true if the state instance at the address is known to be in the failure domain. */
    bool isInDomain(const InstanceId&, const FailureDomainId&) const;

private:
    struct Entry {
        FailureDomainId failureDomain;
        bool isSeed = false;
        TimePoint learnedAt {}; // When it was last advertised or set as a seed.
        std::optional<TimePoint> connectedAt; // When a link to it was last known to be open.
    };

    Options m_options;
    std::map<InstanceId, Entry> m_entries; // Never contains m_options.self.
};

} // namespace HickoryHollow
