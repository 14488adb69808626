/** \file
 * The calls of this instance that have not ended, counted at their servers. Reads no clock.
 */
#pragma once

#include "placement/KnownServers.h"

#include <map>
#include <optional>
#include <set>

namespace HickoryHollow {

class CallsInProgress {
public:
    struct Call {
        BackendId backend;
        Incarnation incarnation; ///< Incarnation of the server at the start; a restarted server doesn't count the call.
        std::uint32_t uncachedTokens = 0;
        bool hasFirstToken = false;
        bool isInteractive = false;
        Duration expectedTime {}; ///< See Placement::expectedTime.
        TimePoint startedAt {};
        std::vector<std::uint64_t> addedPrefixes {}; ///< Hashes that this call added to the server's prefix cache.
    };

    /** A call and its server, which is the same start as at the begin of the call. */
    struct Counted {
        KnownServer& server;
        Call call;
    };

    /** `servers` outlives this object. */
    explicit CallsInProgress(const KnownServers& servers)
        : m_servers(servers)
    {
    }

    CallId begin(const Placement&, const PlacementRequest&, TimePoint now);
    /** Returns the server of the call, which may have started anew; null if the call has ended or the server is unknown. */
    KnownServer* serverOf(CallId) const;
    /** Adds the prompt's prefixes to the cache of the call's server. Returns the server, or null if it does not count the call. */
    KnownServer* addPrefixes(CallId, const Prompt&);
    /** Records the first token. Returns nothing if the server does not count the call, or for a later token. */
    std::optional<Counted> recordFirstToken(CallId);
    /** Ends the call. Returns nothing if the server does not count it. */
    std::optional<Counted> end(CallId);
    /** Forgets the calls at a server that has started anew. */
    void forget(KnownServer&);
    /** Servers with calls that have not ended. */
    const std::set<ServerHandle>& servers() const { return m_busy; }

private:
    /** Returns the server of the call if it counts it, or null. */
    KnownServer* countingServer(const Call&) const;

    const KnownServers& m_servers;
    std::map<CallId, Call> m_calls;
    std::set<ServerHandle> m_busy; // Servers with KnownServer::calls above 0.
    std::uint64_t m_lastCall = 0;
};

} // namespace HickoryHollow
