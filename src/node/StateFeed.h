/** \file
 * An entry instance's link to the state instance that it is attached to. The link delivers routing configurations, backend
 * records, usage totals and cached prefixes of other instances, and confirmations that the held configuration is the newest.
 * The feed attaches to another state instance if the present one is unreachable or does not confirm in time, and to one of its
 * own failure domain once it knows one that has confirmed: usage totals and records of servers are most of what is sent between
 * failure domains otherwise.
 */
#pragma once

#include "ledger/Commands.h"
#include "links/EntryAddress.h"
#include "links/Link.h"
#include "links/StateAddresses.h"
#include "membership/BackendRecord.h"
#include "node/UsageAggregator.h"
#include "placement/CompletionModel.h"
#include "placement/LimitMessages.h"
#include "placement/PromptEvidence.h"
#include "placement/StreamOrigins.h"
#include "scaling/ServiceDemand.h"
#include "usage/StartCounts.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace HickoryHollow {

class StateFeed {
public:
    struct Options {
        std::string instance; ///< Name of this entry instance.
        FailureDomainId failureDomain; ///< State instances in this failure domain are preferred.
        std::string relayListen = {}; ///< `ip:port` at which this entry instance accepts relayed requests; empty if it accepts none.
        std::uint64_t seed = 0; ///< Spreads entry instances over equally suitable state instances.
        /** Time between two usage reports; unchanged usage is skipped. */
        Duration usageInterval = std::chrono::milliseconds(150);
        int intervalsPerPoll = 3; ///< Usage intervals between two polls; with each poll, unchanged usage is sent as well.
        /** Without a confirmation for longer, the feed re-attaches. */
        Duration confirmationTimeout = std::chrono::milliseconds(1500);
        /** Least time on a link to another failure domain before the feed moves to its own; `seed` spreads the moves of a deployment. */
        Duration moveDelay = std::chrono::seconds(1);
        LinkOptions link = {};
    };

    /** Functions that connect the feed to its owner. All are called on the event loop. */
    struct Events {
        /** Receives a configuration, whole; its version may be lower than an earlier one. */
        std::function<void(const RoutingDocument&)> routing;
        /** `newest` was the newest accepted version at some time after `askedAt`. */
        std::function<void(RoutingVersion newest, TimePoint askedAt)> confirmed;
        /** Receives records of backend servers that are new or changed. */
        std::function<void(const std::vector<BackendRecord>&)> backends;
        /** Receives the total usage of all entry instances, which includes what this one reported last. */
        std::function<void(const UsageReport&)> usage;
        std::function<UsageReport()> localUsage; ///< Returns the present usage of this instance.
        /** Receives prefixes that backend servers have cached, as reported by any entry instance, this one included. */
        std::function<void(const std::vector<CachedPrefixReport>&)> cachedPrefixes;
        /** Returns the prefixes that this instance has to report since the last call. */
        std::function<std::vector<CachedPrefixReport>()> takeLocalPrefixes;
        /** Returns what this instance observed of prompts since the last call; `onNewLink` at the first call on a link. */
        std::function<PromptEvidence(bool onNewLink)> takePromptEvidence;
        /** Receives the findings from what all entry instances observed; they replace earlier ones. */
        std::function<void(const PromptFindings&)> promptFindings;
        /** Returns the demand for permits of servers that name limits, and what is new of these limits; `onNewLink` at the first call on a link. */
        std::function<LimitReport(bool onNewLink)> takeLimitReport;
        /** Receives limits of servers and permits. */
        std::function<void(const LimitUpdate&)> limits;
        /** Receives the number of entry instances in the deployment; at least 1. */
        std::function<void(std::uint32_t)> entryInstances;
        /** Returns the streams of known version, for a state instance that may not know them. */
        std::function<std::vector<StreamOrigin>()> streamOrigins = [] { return std::vector<StreamOrigin>(); };
        /**
         * Receives the entry instances that this one may relay requests through, those of its own failure domain first; they replace
         * earlier ones. A state instance of a former version sends none, so earlier ones may outlive their instances.
         */
        std::function<void(const std::vector<EntryAddress>&)> relayTargets = [](const auto&) {};
        /** Returns counted starts if a report is due; all of them at the first call on a link. */
        std::function<std::optional<StartCounts>(bool onNewLink)> takeStarts = [](bool) { return std::nullopt; };
        /** Returns the demand for services if a report is due, as at the first call on a link. */
        std::function<std::optional<std::vector<ServiceDemand>>(bool onNewLink)> takeDemand = [](bool) { return std::nullopt; };
        /** Returns sums of own requests that ended since the last call; empty if overload is not limited. */
        std::function<std::vector<ClassCompletions>()> takeCompletions = [] { return std::vector<ClassCompletions>(); };
        /** Receives such sums of all entry instances, this one included. */
        std::function<void(const std::vector<ClassCompletions>&)> completions = [](const auto&) {};
        /** Receives true time, the time since the start of 1970. */
        std::function<void(std::chrono::milliseconds)> trueTime = [](auto) {};
    };
    /** Receives the version of a stream; nothing if it is not known for certain. */
    using OriginCallback = std::function<void(std::optional<VersionId>)>;

    StateFeed(asio::io_context&, Options, Events);
    ~StateFeed();
    StateFeed(const StateFeed&) = delete;
    StateFeed& operator=(const StateFeed&) = delete;

    void start(const std::vector<InstanceId>& seeds);
    void setSeeds(const std::vector<InstanceId>&);
    /** Requests a confirmation without waiting for the next poll. */
    void pollNow();
    /** Sends what is due to be reported without waiting for the next interval. */
    void reportNow();
    /** Sends the origin of a stream that begins; dropped without a link, because the next one sends them all. */
    void reportStream(const StreamOrigin&);
    /** Asks at which version of the service a stream began. The callback is called once, with nothing if the link ends before. */
    void askOrigin(StreamId, const ServiceId&, OriginCallback);
    /** Returns the address of the state instance that the feed is attached to; empty while there is none. */
    InstanceId attachedInstance() const;

private:
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace HickoryHollow
