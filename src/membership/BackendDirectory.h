/** \file
 * The backend servers as one instance knows them. Soft state under leases: each backend server has a home instance,
 * chosen by rendezvous hashing over the instances within reach, which alone judges whether it lapsed. Only
 * transitions are told to the other instances, not heartbeats. Pure: time and events in, records to spread out.
 */
#pragma once

#include "base/Time.h"
#include "membership/BackendRecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace HickoryHollow {

/** A sign of life of a backend server, passed to its home by the instance that heard it. */
struct Renewal {
    BackendId id;
    Incarnation incarnation;
    std::uint64_t sequence = 0;
};

class BackendDirectory {
public:
    struct Options {
        InstanceId self;
        Duration lease = std::chrono::milliseconds(1500); ///< Silence after which the home declares a lapse.
        Duration forgetAfter = std::chrono::minutes(10); ///< Time for which a record that does not serve is kept against replays.
    };

    /** Result of one announcement. */
    enum class Outcome {
        Accepted,
        Stale, ///< Older than what is known, or a revival of an incarnation that left.
    };

    explicit BackendDirectory(Options);

    /** Takes an announcement that a backend server made to this instance. */
    Outcome announce(const BackendRecord&, TimePoint now);
    /** Takes a renewal that another instance heard; ignored unless it is newer than what is known. */
    void renew(const Renewal&, TimePoint now);
    /** Takes a record that another instance spread. A lapse counts only from the backend server's home. */
    void merge(const BackendRecord&, const InstanceId& from, TimePoint now);
    /** The other instances within reach now. */
    void setPeers(std::set<InstanceId>, TimePoint now);
    /** Declares lapses of the backend servers whose home this instance is, and forgets what is long gone. */
    void tick(TimePoint now);

    InstanceId homeOf(const BackendId&) const;
    std::vector<BackendRecord> serving() const;
    std::vector<BackendRecord> all() const;

    /** Records that changed since the last call and are to be told to all peers. */
    std::vector<BackendRecord> takeTransitions();
    /** Renewals to pass to the homes, since the last call. */
    std::vector<Renewal> takeRenewals();
    /** Records whose content or state changed by any way since the last call, renewed ones left out. */
    std::vector<BackendRecord> takeChanges();
    /** The record of the backend server that calls itself so; the newest incarnation where there are several. */
    std::optional<BackendRecord> findByName(const std::string& serverName) const;
    /** True once after each change of the set or content of serving(). */
    bool takeServingChanged();

private:
    struct Entry {
        BackendRecord record;
        TimePoint heardAt; ///< Last sign of life that reached this instance, or when it became the home.
    };

    void adopt(const BackendRecord&, TimePoint now);
    void spread(const BackendId& id) { m_transitions.insert(id); }
    void noteChange(const BackendId&);

    Options m_options;
    std::set<InstanceId> m_peers;
    std::map<BackendId, Entry> m_entries;
    std::set<BackendId> m_transitions; // Entries to spread; each is in m_entries.
    std::map<BackendId, Renewal> m_renewals; // Heard here for backend servers with another home.
    std::set<BackendId> m_changes; // Entries that differ from what takeChanges() told; each is in m_entries.
    bool m_servingChanged = false;
};

} // namespace HickoryHollow
