/** \file
 * Selects a backend server for each request from what one entry instance knows of them. Does no I/O and reads no clock:
 * times, events and a source of randomness are passed in.
 *
 * The selector prefers the server with the lowest expected time to the first token. That time grows with the prompt
 * tokens that await prefill at the server, with the tokens of the request's prompt that are not in the engine's prefix
 * cache, and with the requests that run there. Each shared prefix has preferred engines, which every instance finds by
 * rendezvous hashing, so that a prefix is prefilled on one engine and not on all of them.
 */
#pragma once

#include "placement/CallsInProgress.h"
#include "placement/CandidateIndex.h"
#include "placement/EngineReservations.h"
#include "placement/KnownServers.h"
#include "placement/LimitedServers.h"
#include "placement/Placement.h"
#include "placement/PlacementCost.h"
#include "placement/ServerEjections.h"
#include "placement/ServiceReaches.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace HickoryHollow {

class RandomSource;

/** Selects backend servers, and keeps the server records, calls in progress and cached prefixes that this needs. */
class BackendSelector {
public:
    struct Options {
        FailureDomainId ownDomain; ///< Failure domain of this instance; servers in it are preferred slightly.
        std::size_t exactBelow = 128; ///< Services with fewer servers are decided by looking at all of them.
        Duration announceTime = std::chrono::milliseconds(2500); ///< Longest time from a server's start until its record is here.
    };

    /** `random` outlives the selector. */
    BackendSelector(Options, RandomSource& random);

    /** Takes over a record that supersedes the known one. Returns false and changes nothing if it does not. `leavingFor` needs `now`. */
    bool merge(const BackendRecord&, std::optional<TimePoint> now = std::nullopt);
    /** Records that this start of the server shuts down; only a later start of it is selected again. */
    void recordLeaving(const BackendId&, Incarnation);
    /** Records that this start of the server wants no request of this instance until then. */
    void recordBackoff(const BackendId&, Incarnation, TimePoint until);
    /** Records what this start of the server said of its limit; see LimitedServers::recordNotice(). Returns true if that is new. */
    bool recordLimit(const BackendId&, Incarnation, std::optional<RequestRate>, TimePoint saidAt, TimePoint now);
    /** Records what this start of the server said of its rejection limit; see SlotLeases::recordNotice(). Returns true if that is new. */
    bool recordRejectionLimit(const BackendId&, Incarnation, std::optional<RequestRate>, TimePoint saidAt, TimePoint now);
    /** The limits that servers name, and the permits of this instance. */
    LimitedServers& limits() { return m_limits; }
    /**
     * Returns false if a selected server must not receive the request any more: it leaves, wants none, has started anew, or names a
     * limit and the permit has run out.
     */
    bool mayReceive(const Placement&, TimePoint now) const;
    /** Returns true if that start of the server has said that it leaves, or has taken itself off. */
    bool isLeaving(const Placement&) const;
    /** For how long it has been known that this start leaves; nothing if it is not known when that was announced. */
    std::optional<Duration> leavingFor(const Placement&, TimePoint now) const;
    /** Returns true if no later start of the server, and no change of its version, is known. */
    bool isSameStart(const Placement&) const;
    /**
     * Returns true if a process that has run at the selected server's address since `runsSince` may have another version than the server
     * was selected for: its record names another one, or it may have started again unannounced and its service has had several versions.
     */
    bool mayBeOtherVersion(const Placement&, TimePoint runsSince, TimePoint now);
    /** Records a sign that the server has ended: it broke a call off, or took no connection. A start that was announced meanwhile may have. */
    void recordEnd(const BackendId&, TimePoint now);
    /** Returns the first time at which a server may take the request; nothing if none ever will. */
    std::optional<TimePoint> availableAt(const PlacementRequest&, TimePoint now) const;
    /** Sets the limits of each engine of the service: requests that run at once, and tokens that fit into its memory. */
    void setEngineLimits(const ServiceId&, std::uint32_t slots, std::uint64_t tokenCapacity);
    /** Reserves engines for interactive requests in exactly these services, and does so before their first request. */
    void setInteractiveServices(const std::set<ServiceId>&, TimePoint now);
    /** Replaces the usage of the other instances at a backend server; ignored for an unknown server. */
    void setRemoteUsage(const BackendId&, ServerUsage);
    void clearRemoteUsage();
    /**
     * Sets the recent calls of all `instances` entry instances at the servers where any of them failed, and decides which
     * servers are ejected for these failures. Call with each update of the remote usage. Returns the servers that were
     * ejected now.
     */
    std::vector<FleetEjected> setFleetCalls(const std::map<BackendId, CallCounts>&, std::uint32_t instances, TimePoint now);
    /** Returns this instance's recent calls at each server that it had any from, without those of services that are out of reach. */
    std::map<BackendId, CallCounts> localCalls(TimePoint now);
    /**
     * Recomputes which engines are reserved for interactive requests: at least a quarter and at most half of a service's
     * serving engines, and none of a single one. Call after each update of the remote usage.
     */
    void updateReservations(TimePoint now);

    /** Returns true if some server might take the request now or later; it may be ejected, lapsed or backing off at present. */
    bool hasCandidate(const PlacementRequest&) const;
    /** Returns true if this instance does not reach the servers of the service; see ServiceReach. */
    bool isOutOfReach(const ServiceId&) const;
    /** Records that a call to the server has brought no data for so long that the path to it may be cut. The call may go on. */
    void recordSilence(const BackendId&, TimePoint now);
    /** Returns the services that have serving servers. */
    std::set<ServiceId> services() const;
    /** Returns the server of the service to probe next; nothing if it has none that serves. */
    std::optional<BackendId> nextProbe(const ServiceId&) const;
    /** Records whether a connection to the server could be made. Returns true if that changed whether its service is in reach. */
    bool recordProbe(const BackendId&, bool wasReached, TimePoint now);
    /** Returns true if the server sent any data to this instance at or after `since`, on any call. */
    bool wasActiveSince(const BackendId&, TimePoint since) const;
    /** Records that the server of this call sent data. */
    void recordActivity(CallId, TimePoint now);
    /**
     * Returns the server with the lowest cost for the request, at random if several have it; nothing if there is no
     * candidate, or all candidates want no request at present or have a limit and no permit. Ejected servers are selected only if
     * no other is left, and
     * lapsed ones after those. A lapsed server that answered within the last 3 s is treated as serving.
     */
    std::optional<Placement> select(const PlacementRequest&, TimePoint now);
    /** Counts a call at the selected server until endCall(). */
    CallId beginCall(const Placement&, const PlacementRequest&, TimePoint now);
    /** Records that the request was sent. From now on all prefixes of its prompt count as cached at the server. */
    void recordSent(CallId, const Prompt&, TimePoint now);
    /** Records the first token, or the first bytes of an answer that is no stream; later ones are ignored. */
    void recordFirstToken(CallId, TimePoint now);
    /** Ends the call. If it failed before the first token, the prefixes that it added no longer count as cached. */
    void endCall(CallId, CallOutcome, TimePoint now);

    /** Returns, and removes, the cached prefixes that are due to be reported to the other instances. */
    std::vector<CachedPrefix> takeCachedPrefixes();
    /** Records a cached prefix that another instance reported; ignored for an unknown server. */
    void addReportedPrefix(const CachedPrefix&, TimePoint now);
    /** Returns the usage of all instances at the server; none if it is unknown. */
    ServerUsage totalUsage(const BackendId&) const;
    /** Returns the number of requests that run at once at the server; 1 if it is unknown. */
    std::uint32_t slotsOf(const BackendId&) const;
    /** Returns the number of requests that run or wait at the serving servers of the service, as a share of their slots. */
    double usedSlotShare(const ServiceId&) const;
    /** Returns the usage of this instance at each backend server where it has calls in progress. */
    std::map<BackendId, ServerUsage> localUsage() const;
    /** Returns the records of all known backend servers. */
    std::vector<BackendRecord> backendRecords() const;

    /** Number of times that a server was looked at for a decision, over all decisions so far. */
    std::uint64_t serversLooked() const { return m_index.looked(); }

private:
    double serviceSlowness(const ServiceId&) const;
    EngineCapacity engineCapacity(const ServiceId&) const;
    void setCacheCapacity(KnownServer&) const;
    /** Counts the request as demand for a permit of the server. */
    void recordLimitDemand(const KnownServer&, const PlacementRequest&, TimePoint now);
    double loadAdjustedTime(const CostEstimate&, const ServiceId&) const;

    Options m_options;
    KnownServers m_servers;
    LimitedServers m_limits;
    ServerEjections m_ejections;
    EngineReservations m_reservations;
    ServiceReaches m_reaches;
    CallsInProgress m_calls;
    CandidateIndex m_index;
    RandomSource& m_random;
    std::map<ServiceId, EngineCapacity> m_engines; // Limits of the engines of each service that has any.
    std::map<ServiceId, double> m_serviceSlowness; // Moving average of actual / expected time to the first token.
    std::set<ServerHandle> m_usedByOthers; // Servers whose KnownServer::remoteUsage may be other than none.
    std::vector<CachedPrefix> m_unreportedPrefixes; // Waits for takeCachedPrefixes(); bounded by maxUnreportedPrefixes.
};

} // namespace HickoryHollow
