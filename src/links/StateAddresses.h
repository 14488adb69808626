/** \file
 * The state instances that a process knows of: the seeds of its settings, and what other instances told it. Pure.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace HickoryHollow {

/** Where a state instance takes links. Its address is its name among the state instances. */
struct StateAddress {
    InstanceId listen; ///< `ip:port`.
    FailureDomainId failureDomain; ///< Empty where only a seed names it.

    bool operator==(const StateAddress&) const = default;
};

class StateAddresses {
public:
    struct Options {
        InstanceId self; ///< Left out of the list; empty on an instance that keeps no state.
        Duration forgetAfter = std::chrono::seconds(60); ///< Without a sign of life; seeds are kept.
    };

    explicit StateAddresses(Options);

    /** Replaces the seeds. They stay known as others do when the settings name new ones. */
    void setSeeds(const std::vector<InstanceId>&, TimePoint now);
    /** Another instance says that it had a link there a short time ago. */
    void learn(const StateAddress&, TimePoint now);
    /** A link to it is open. */
    void seen(const InstanceId&, TimePoint now);
    void tick(TimePoint now);

    std::vector<StateAddress> all() const;
    bool contains(const InstanceId& id) const { return m_known.contains(id); }
    /** Those with a sign of life within that time. */
    std::vector<StateAddress> seenWithin(Duration, TimePoint now) const;
    /** Candidates for a home of an instance in that failure domain, best first, `seed` breaking ties. */
    std::vector<InstanceId> homes(const FailureDomainId&, std::uint64_t seed) const;

private:
    struct Known {
        FailureDomainId failureDomain;
        bool isSeed = false;
        TimePoint learntAt {};
        std::optional<TimePoint> seenAt;
    };

    Options m_options;
    std::map<InstanceId, Known> m_known; // Never holds m_options.self.
};

} // namespace HickoryHollow
