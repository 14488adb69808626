/** \file
 * The backend servers as one entry instance sees them, and the choice among them for each request. Pure: time, events
 * and a source of randomness in, choices out.
 *
 * The choice is by expected time to the first piece: the prompt tokens that wait there for their reading, those of the
 * request that the engine does not keep yet, and the work that runs there. Shared parts of prompts have a home that
 * every instance finds by rendezvous hashing, so that they are read once and not on all engines.
 */
#pragma once

#include "base/Ids.h"
#include "membership/BackendRecord.h"
#include "placement/BackendHealth.h"
#include "placement/Prompt.h"
#include "placement/PromptCache.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace HickoryHollow {

class RandomSource;

/** Names one call within the board. */
using CallId = StrongId<struct CallTag, std::uint64_t>;

/** What a choice has to know of a request. */
struct PlacementRequest {
    ServiceId service;
    Prompt prompt;
    std::uint32_t priority = 0;
    bool isInteractive = false; ///< Suffers from long prompts beside it; see Partition.
    std::uint32_t ranksAboveLowest = 0; ///< Priorities of the service's routes that are less urgent.
    std::set<BackendId> excluded; ///< Tried before.
};

struct Placement {
    BackendId backend;
    std::string serverName;
    Duration expected {}; ///< Until the first piece, as far as this instance can tell.
    Duration burden {}; ///< Expected time by the service's slowness of late, with what a reread takes from others.
    Duration backlog {}; ///< Of it, the reading of prompts that are there already.
    std::uint32_t unreadTokens = 0; ///< Of the prompt; thought not to be kept there.
    bool isAtHome = false; ///< The server is the home of the prompt's shared parts.
    bool isSetApart = false; ///< The engine is one of those that interactive streams prefer.
    bool isAside = false; ///< No server was left that is not set aside.
};

/** Work of other instances at one backend server. */
struct OtherUse {
    std::uint32_t requests = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t interactive = 0; ///< Of the requests.
};

/** A server has read, or is about to read, the shared parts of a prompt. */
struct KeptPrompt {
    std::uint64_t parts = 0; ///< Hash; see sharedPrefixOf.
    BackendId backend;
    std::uint32_t tokens = 0;
};

class BackendBoard {
public:
    struct Options {
        FailureDomainId ownDomain;
    };

    /** `random` outlives the board. */
    BackendBoard(Options, RandomSource& random);

    /** Takes news of a backend server; false for old news. */
    bool merge(const BackendRecord&);
    /** Engines of the service keep so many tokens each. */
    void setEngine(const ServiceId&, std::uint32_t slots, std::uint64_t tokenCapacity);
    /** Only these services have interactive requests; their engines are divided from the first request on. */
    void setInteractiveServices(const std::set<ServiceId>&, TimePoint now);
    void setOtherUse(const BackendId&, OtherUse);
    void clearOtherUse();
    /** Others' use is up to date: decides anew how many engines interactive requests need for themselves. */
    void repartition(TimePoint now);

    /** Some server might take the request, now or later. */
    bool hasCandidate(const PlacementRequest&) const;
    /** It sent something to this instance at or after `since`, on any call. */
    bool showedLife(const BackendId&, TimePoint since) const;
    /** The call's server sent something. */
    void noteLife(CallId, TimePoint now);
    std::optional<Placement> choose(const PlacementRequest&, TimePoint now);
    CallId begin(const Placement&, const PlacementRequest&, TimePoint now);
    /** The request is on its way to the server. */
    void sent(CallId, const Prompt&, TimePoint now);
    void firstPiece(CallId, TimePoint now);
    void end(CallId, CallOutcome, TimePoint now);

    /** What was sent since the last call and the other instances should hear of. */
    std::vector<KeptPrompt> takeKeptPrompts();
    /** Another instance sent it. */
    void noteKeptPrompt(const KeptPrompt&, TimePoint now);
    /** Own work at each backend server that has any. */
    std::map<BackendId, OtherUse> ownUse() const;
    std::vector<BackendRecord> all() const;

private:
    struct Server {
        BackendRecord record;
        BackendHealth health;
        PromptCache cache { 0 };
        OtherUse others;
        std::uint32_t calls = 0; ///< Own calls that have not ended.
        std::uint32_t interactiveCalls = 0; ///< Of them.
        std::uint32_t waitingTokens = 0; ///< Unread prompt tokens of own calls without a first piece.
        TimePoint lifeAt {}; ///< When it sent something last.
        double slowness = 1; ///< Moving average of measured against expected time to the first piece, against the service's.
    };

    struct Call {
        BackendId backend;
        Incarnation incarnation;
        std::uint32_t unreadTokens = 0;
        bool hasFirstPiece = false;
        bool isInteractive = false;
        Duration expected {};
        TimePoint begunAt {};
        std::vector<std::uint64_t> addedParts {}; // To the picture of the server's cache, by this call.
    };

    /** Engines of a service that interactive requests prefer and long prompts avoid. */
    struct Partition {
        double activeAverage = 0; ///< Interactive requests of all instances that run at once.
        std::set<BackendId> engines;
    };

    struct Engine {
        std::uint32_t slots = 1;
        std::uint64_t tokenCapacity = 0;
    };

    double fleetSlowness(const ServiceId&) const;
    double slotsOf(const ServiceId&) const;
    bool isSetApart(const Server&) const;
    void repartition(const ServiceId&, Partition&, TimePoint now);
    bool isCandidate(const Server&, const PlacementRequest&) const;
    /** What a request would meet at a server. */
    struct Estimate {
        double cost = 0; ///< What the choice goes by, in milliseconds.
        double time = 0; ///< Milliseconds to the first piece, as far as this instance can tell.
        double rereading = 0; ///< Milliseconds that reading shared parts again takes from later requests.
        std::uint32_t unreadTokens = 0;
    };

    /** Where the shared parts of a prompt belong. */
    struct Homes {
        std::vector<BackendId> engines; ///< In order of preference.
        bool isKeptSomewhere = false; ///< Some engine is known to keep them, so that chances need not be guessed.
    };

    double burdenOf(const Estimate&, const ServiceId&) const;
    Estimate estimate(const Server&, const PlacementRequest&, const std::vector<PromptPrefix>&, const Homes&) const;
    Homes homesOf(const PlacementRequest&, std::uint64_t key, TimePoint now) const;

    Options m_options;
    RandomSource& m_random;
    std::map<BackendId, Server> m_servers;
    std::map<ServiceId, Engine> m_engines;
    std::map<ServiceId, double> m_fleetSlowness; // Measured against expected time to the first piece, over all servers.
    std::map<ServiceId, Partition> m_partitions; // Of services that have interactive requests.
    std::map<CallId, Call> m_calls;
    std::vector<KeptPrompt> m_keptPrompts; // Not yet taken; bounded.
    std::uint64_t m_lastCall = 0;
};

} // namespace HickoryHollow
