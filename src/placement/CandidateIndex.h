/** \file
 * Finds the few servers among which a request to a large service is decided. Reads no clock.
 *
 * A decision that looks at every server makes an instance with 3,000 servers use three times the CPU of one with 300 for the same
 * callers. In a large group the candidates are the preferred engines and known holders of the prefix, the least loaded servers of
 * each class in LoadOrder, and some at random. Small groups are searched in full, so that nothing changes for them.
 */
#pragma once

#include "placement/KnownServers.h"
#include "placement/LimitedServers.h"
#include "placement/PlacementCost.h"
#include "placement/PrefixHolders.h"
#include "placement/PrefixHomes.h"
#include "placement/ServerEjections.h"

#include <functional>
#include <map>
#include <queue>
#include <vector>

namespace HickoryHollow {

class RandomSource;

constexpr Duration lapseGrace = std::chrono::seconds(3); ///< A server that answers is up even if its announcements stopped.

class CandidateIndex {
public:
    struct Options {
        std::size_t exactBelow = 0; ///< Groups with fewer servers are searched in full.
        std::function<bool(const ServiceId&)> hasEngines; ///< Whether requests to the service have prompts.
    };

    /** All arguments outlive this object. */
    CandidateIndex(Options, KnownServers&, const ServerEjections&, LimitedServers&, RandomSource&);

    /** Records that something about the server changed that its place in the order depends on. */
    void touch(KnownServer&);
    /** Records that the server is about to leave its service. */
    void leaveService(KnownServer&);
    /** Brings the orders up to date with what was touched and with the time, and creates those that the request needs. */
    void refresh(const PlacementRequest&, TimePoint now);
    /** Returns the preferred engines for the prefix. All instances agree on them as far as they agree on the servers' states. */
    PreferredEngines preferredEngines(const PlacementRequest&, std::uint64_t prefixHash, TimePoint now);
    /** Returns the servers to decide among, each once. In a small group that is all of them, ordered by id. */
    std::vector<KnownServer*> candidates(const PlacementRequest&, const std::vector<PromptPrefix>&, const PreferredEngines&, TimePoint now);
    /** Number of times that a server was looked at for a decision. */
    std::uint64_t looked() const { return m_looked; }

private:
    struct Change {
        TimePoint at;
        ServerHandle server;

        bool operator>(const Change& other) const { return at > other.at; }
    };

    bool isLarge(const ServerGroup& group) const { return group.members.size() >= m_options.exactBelow; }
    const ServerGroup& groupOf(const PlacementRequest&) const;
    void createOrder(ServerGroup&, TimePoint now);
    void place(KnownServer&, TimePoint now);
    LoadPosition positionOf(const KnownServer&, TimePoint now) const;
    /** Schedules the next change of the server's place that time alone causes. */
    void schedule(KnownServer&, TimePoint now);
    /** Visits the least loaded servers. Returns true if a server was found that takes the request at present. */
    bool addLeastLoaded(const ServerGroup&, const PlacementRequest&, TimePoint now, std::vector<KnownServer*>& found);

    Options m_options;
    KnownServers& m_servers;
    const ServerEjections& m_ejections;
    LimitedServers& m_limits;
    RandomSource& m_random;
    PrefixHolders m_holders; // Of the prefixes in the caches of the large services' engines.
    std::map<ServiceId, HomeRing> m_rings; // Of the large services.
    std::vector<KnownServer*> m_changed; // Those with KnownServer::isChanged.
    std::priority_queue<Change, std::vector<Change>, std::greater<>> m_changes;
    std::uint64_t m_looked = 0;
};

/** Returns true if the server might take the request now or later. */
bool isCandidate(const KnownServer&, const PlacementRequest&);

} // namespace HickoryHollow
