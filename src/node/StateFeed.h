/** \file
 * An entry instance's link to its home, the state instance that feeds it: routing configurations, news of backend
 * servers, the other instances' load, and the word that its configuration is still the newest. Moves to another state
 * instance when the home is out of reach or cannot give that word.
 */
#pragma once

#include "ledger/Commands.h"
#include "links/Link.h"
#include "links/StateAddresses.h"
#include "membership/BackendRecord.h"
#include "node/UseLedger.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace HickoryHollow {

class StateFeed {
public:
    struct Options {
        std::string instance;
        FailureDomainId failureDomain;
        std::uint64_t seed = 0; ///< Spreads instances over equal homes.
        Duration useInterval = std::chrono::milliseconds(150); ///< Between two reports of own use, where it changed.
        int reportsPerPoll = 3; ///< Each so many reports the configuration is confirmed, and use is told in any case.
        Duration patience = std::chrono::milliseconds(1500); ///< Without a confirmation, before another home is tried.
        LinkOptions link = {};
    };

    struct Events {
        std::function<void(const RoutingDocument&)> routing;
        /** `newest` was the newest accepted version at some time after `askedAt`. */
        std::function<void(RoutingVersion newest, TimePoint askedAt)> confirmed;
        std::function<void(const std::vector<BackendRecord>&)> backends;
        /** All entry instances together, this one included. */
        std::function<void(const UseReport&)> uses;
        std::function<UseReport()> ownUses;
        /** Told by other entry instances, and by this one. */
        std::function<void(const std::vector<KeptPromptNews>&)> keptPrompts;
        std::function<std::vector<KeptPromptNews>()> ownKeptPrompts;
        std::function<RoutingVersion()> held;
        std::function<void(std::uint32_t)> entryInstances;
    };

    StateFeed(asio::io_context&, Options, Events);
    ~StateFeed();
    StateFeed(const StateFeed&) = delete;
    StateFeed& operator=(const StateFeed&) = delete;

    void start(const std::vector<InstanceId>& seeds);
    void setSeeds(const std::vector<InstanceId>&);
    /** Asks for a confirmation now. */
    void pollNow();
    /** Empty while there is none. */
    InstanceId home() const;

private:
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace HickoryHollow
