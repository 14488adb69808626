/** \file
 * Orders the servers of the services whose configuration has ScalingLimits, while this state instance holds the duties.
 *
 * It turns records, usage reports and demand into the input of ScalingPolicy, and sends what ServerOrdering asks for. The
 * policies observe also without the duties, so that a new holder knows the load of the last 30 s.
 */
#pragma once

#include "membership/BackendRecord.h"
#include "node/UsageAggregator.h"
#include "scaling/ScalingPolicy.h"
#include "scaling/ServerOrdering.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace HickoryHollow {

class RoutingDecoder;

/** What the state instance knows at the moment. */
struct ScalingInput {
    std::vector<BackendRecord> servers; ///< In any state.
    UsageReport usage; ///< Of all entry instances.
    std::function<ServiceDemand(const ServiceId&)> demandOf; ///< Demand of the last second at all entry instances.
};

/** Used on one event loop. */
class ServerScaling {
public:
    using Clock = std::function<TimePoint()>;

    /** `decoder` and `provider` outlive the object and its calls. `clock` gives the time of the provider's answers, as `now` does elsewhere. */
    ServerScaling(asio::io_context&, const RoutingDecoder&, ProviderApi& provider, Clock clock);
    ~ServerScaling();
    ServerScaling(const ServerScaling&) = delete;
    ServerScaling& operator=(const ServerScaling&) = delete;

    /** Takes the services from a routing configuration; ignores one that cannot be decoded or is not newer. */
    void setRouting(RoutingVersion, std::string_view text);
    /** True if there is a service to decide for, and half a second has passed since the last decision. */
    bool isDue(TimePoint now) const;
    /** Decides anew, and starts the calls that are due. */
    void decide(const ScalingInput&, TimePoint now);
    /** Metrics in Prometheus text format: servers wanted, seen and leaving by service, failure domain and kind. */
    std::string metricsText() const;

private:
    struct Service {
        RoutedService configuration;
        ScalingPolicy policy;
        ServiceObservation seen; ///< Of the last tick.
    };

    struct Leaving {
        Incarnation incarnation;
        TimePoint endsAt;
    };

    ServiceObservation observe(const Service&, const ScalingInput&, TimePoint now) const;
    void trackLeaving(const std::vector<BackendRecord>&, TimePoint now);
    Task<void> send(ServerOrder);
    /** The inputs of the decision, for the log. */
    std::string causeOf(const ServerOrder&) const;

    asio::io_context& m_loop;
    const RoutingDecoder& m_decoder;
    ProviderApi& m_provider;
    Clock m_clock;
    std::shared_ptr<bool> m_isAlive; // Set to false by the destructor; checked by calls that end later.
    RoutingVersion m_version;
    std::map<ServiceId, Service> m_services; // Those with ScalingLimits.
    std::map<BackendId, Leaving> m_leaving; // Servers that announced their end; their records stay for minutes.
    ServerOrdering m_ordering;
    bool m_isHolder = false;
    TimePoint m_lastDecision;
};

} // namespace HickoryHollow
