/** \file
 * One instance's directory of backend servers, kept as soft state under leases.
 *
 * A record is held for each address and service: an address may be announced by servers of several services, of which at most one is
 * really there. A server of a service that the configuration names goes before any other, so an announcement that names an unknown
 * service takes no address away. Which of several records has an address is decided when they are read.
 *
 * Rendezvous hashing over the reachable instances assigns each backend server to one owner instance. Only the owner may
 * declare that the server's lease lapsed. Instances broadcast state transitions to each other; plain heartbeats go only
 * to the owner, as renewals. The class does no input or output: it takes time and events, and returns records to send.
 */
#pragma once

#include "base/Time.h"
#include "membership/BackendRecord.h"
#include "membership/PendingRecords.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace HickoryHollow {

/** A heartbeat of a backend server, forwarded to its owner by the instance that received it. */
struct Renewal {
    BackendId id;
    Incarnation incarnation;
    std::uint64_t sequence = 0; ///< Number of the announcement.
};

class BackendDirectory {
public:
    struct Options {
        InstanceId self; ///< The instance that holds this directory.
        /** Time without an announcement after which the owner declares a lapse. */
        Duration lease = std::chrono::milliseconds(1500);
        /** Time for which a lapsed or leaving record is kept, so that a replayed old announcement is recognised as stale. */
        Duration inactiveRetention = std::chrono::minutes(10);
        /** Size of all records together. Beyond it no further server is accepted; records that are held are still updated. */
        std::size_t maxBytes = 16UL << 20U;
    };

    /** Result of one announcement. */
    enum class Outcome {
        Accepted, ///< The record was stored.
        Stale, ///< Not newer than the stored record, or of an incarnation that has left; ignored.
        Pending, ///< No configuration has named its service yet; kept for a lease in case one does.
        NoRoom, ///< There are too many records; ignored.
    };

    explicit BackendDirectory(Options);

    /** Sets the services that the configuration in force names. Before the first call, all services count as named. */
    void setServices(std::set<ServiceId>, TimePoint now);
    /** Applies an announcement that a backend server made to this instance. */
    Outcome announce(const BackendRecord&, TimePoint now);
    /** Applies a renewal that another instance received; ignored unless it is newer than the stored record. */
    void renew(const Renewal&, TimePoint now);
    /** Applies a record that the instance `from` broadcast. A lapse is accepted only from the backend server's owner. */
    void merge(const BackendRecord&, const InstanceId& from, TimePoint now);
    /** Sets the other instances that are reachable now, which may change the owners of backend servers. */
    void setPeers(std::set<InstanceId>, TimePoint now);
    /**
     * Declares lapses of the backend servers that this instance owns, and removes records that have been lapsed or leaving
     * for longer than `inactiveRetention`.
     */
    void tick(TimePoint now);

    /** The instance that may declare a lapse of the backend server, known or not. */
    InstanceId ownerOf(const BackendId&) const;
    /** Records in state Serving, in order of their ids; at most one for an address. */
    std::vector<BackendRecord> serving() const;
    /** The valid record of each address, in any state, in order of their ids. */
    std::vector<BackendRecord> inForce() const;
    /** All records, for another directory. In order of their ids; several for an address if several services were announced there. */
    std::vector<BackendRecord> all() const;
    /**
     * All records for a receiver that keeps one for an address, by supersedes(). The valid record of an address comes after those
     * that it has to supersede.
     */
    std::vector<BackendRecord> allForReaders() const;

    /** Records to broadcast to all peers, collected since the last call. */
    std::vector<BackendRecord> takeTransitions();
    /** Renewals to forward to the owners, collected since the last call; the latest for each backend server. */
    std::vector<Renewal> takeRenewals();
    /**
     * Records of addresses where one changed since the last call, whatever the cause, as allForReaders() returns them. A new sequence
     * number alone is no change.
     */
    std::vector<BackendRecord> takeChanges();
    /**
     * Marks the servers of that name as leaving, except those that started after the incarnation. The incarnation may be newer than the
     * one known, whose successor was never announced then. Returns false if there are none.
     */
    bool retire(const std::string& serverName, std::optional<Incarnation>, TimePoint now);
    /** Number of records that wait for a configuration that names their service. */
    std::size_t pendingCount() const { return m_pending.size(); }
    /** Number of servers that announce themselves, and whose address belongs to another one. */
    std::size_t supersededCount() const;
    /** True if serving() may have changed since the last call, apart from sequence numbers. */
    bool takeServingChanged();

private:
    using Key = std::pair<BackendId, ServiceId>;
    struct Entry {
        BackendRecord record;
        TimePoint renewedAt; // Last announcement, renewal or broadcast received, or when the owner changed.
    };
    using Entries = std::map<Key, Entry>;

    static Key keyOf(const BackendRecord& record) { return { record.id, record.service }; }
    bool isNamed(const ServiceId& service) const { return !m_services || m_services->contains(service); }
    Outcome announcePending(const BackendRecord&, TimePoint now);
    /** Returns false if there is no room for a record that is not held yet. */
    bool store(const BackendRecord&, TimePoint now);
    /** True if another service was announced at the address with the same incarnation. A renewal can't tell the two apart. */
    bool isStartShared(const BackendRecord&) const;
    void queueBroadcast(const Key& key) { m_transitions.insert(key); }
    void recordChange(const BackendId&);
    /** Records of the services at the address that the configuration names, or of all if it names none; the valid one is the last. */
    std::vector<const BackendRecord*> recordsAt(const BackendId&) const;
    /** Calls `visit` with recordsAt() of each address. */
    template <typename Visit>
    void forEachAddress(Visit) const;

    Options m_options;
    std::set<InstanceId> m_peers;
    std::optional<std::set<ServiceId>> m_services; // Named by the configuration in force; nothing before setServices().
    Entries m_entries;
    std::size_t m_bytes = 0; // Sum of the sizes of the records in m_entries.
    PendingRecords m_pending; // Announced here, of services that were never named; takes only room that m_entries leaves.
    std::set<Key> m_transitions; // Records to broadcast; each has an entry in m_entries.
    std::map<Key, Renewal> m_renewals; // To forward; received here for backend servers with another owner.
    std::set<BackendId> m_changes; // Addresses where a record changed since takeChanges().
    bool m_servingChanged = false; // Set by any change since takeServingChanged().
};

} // namespace HickoryHollow
