/** \file
 * An entry instance: accepts callers' requests on the configured routes and forwards them to backend servers. It receives
 * its configuration, backend records and the other instances' usage from the state instance that it is attached to.
 */
#pragma once

#include "base/RandomSource.h"
#include "forwarding/AsyncAdmissionQueue.h"
#include "forwarding/ForwardingContext.h"
#include "forwarding/PathProber.h"
#include "forwarding/RelayHandler.h"
#include "forwarding/RoutedHandler.h"
#include "http/HttpServer.h"
#include "http/UpstreamClient.h"
#include "node/EntryReports.h"
#include "node/NodeSettings.h"
#include "node/StateFeed.h"
#include "node/StreamRegistry.h"
#include "placement/BackendSelector.h"
#include "placement/PromptGuard.h"
#include "placement/RelayPeers.h"
#include "routing/ActiveRouting.h"

#include <memory>
#include <unordered_map>

namespace HickoryHollow {

class BodyBudget;
class EventLoops;
class RoutingDecoder;

class EntryInstance {
public:
    /** Opens the callers' listener; throws UserError. All references outlive the instance. */
    EntryInstance(EventLoops&, const NodeSettings&, const RoutingDecoder&, const RequestCodec&, std::shared_ptr<BodyBudget>);
    ~EntryInstance();
    EntryInstance(const EntryInstance&) = delete;
    EntryInstance& operator=(const EntryInstance&) = delete;

    void start();
    void setSeeds(const std::vector<InstanceId>&);
    /** True if the load balancer may send new connections: not draining, and the lease on the configuration is valid. */
    /** Number of callers' and relaying instances' idle connections that were closed because there were too many. */
    std::uint64_t connectionsClosedForRoom() const { return m_server.connectionsClosedForRoom() + m_relayServer.connectionsClosedForRoom(); }
    /** Number of requests that were refused for the framing of their bodies. */
    std::uint64_t framingRefusals() const { return m_server.framingRefusals() + m_relayServer.framingRefusals(); }
    bool isReady() const;
    /**
     * Continues to serve connected callers until they are idle or the drain time is over. Requests still in progress then are
     * answered with an error. Returns the number of those whose answers could not be written, which the end of the process cuts.
     */
    Task<std::size_t> drain();

    Metrics& metrics() { return m_metrics; }
    /** The longest delay of the event loop in the last seconds. */
    Duration loopLag() { return m_context.loopLag.worst(monotonicNow()); }
    /** Bytes of servers' answers that are held until they are complete. */
    std::size_t heldAnswerBytes() const { return m_context.answerBytes.used(); }
    RoutingVersion routingVersion() const { return m_routing.version(); }
    /** Metrics of what is counted for the provider in Prometheus text format; empty if nothing is. */
    std::string providerMetricsText() const { return m_reports.metricsText(monotonicNow()); }

private:
    Task<void> tickLoop();
    /** Closes the callers' idle connections once they find other instances. Returns when callers have been idle for a while, or at the end of the drain. */
    Task<void> serveUntilIdle(TimePoint startedAt);
    void closeIdleConnections();
    /** Returns when no request is in progress or arrives, or at `end`. */
    Task<void> awaitRequests(TimePoint end);
    void applyRouting(const RoutingDocument&);
    void applyUsage(const UsageReport& total);
    std::vector<CachedPrefixReport> takeLocalPrefixes();
    void applyCachedPrefixes(const std::vector<CachedPrefixReport>&);
    /** Finds the server from now on by the hash that reports name it by. */
    void recordAddress(const BackendId&);
    UsageReport localUsage();
    HttpLimits callerLimits() const;
    void limitIdleConnections();
    bool hasRequests() const { return m_server.hasRequests() || m_relayServer.hasRequests(); }
    std::size_t requestsInProgress() const { return m_server.requestsInProgress() + m_relayServer.requestsInProgress(); }
    void setRelayTargets(const std::vector<EntryAddress>&);

    asio::io_context& m_loop;
    NodeSettings m_settings;
    const RoutingDecoder& m_decoder;
    std::unique_ptr<RandomSource> m_random;
    ActiveRouting m_routing;
    BackendSelector m_selector;
    PromptGuard m_promptGuard;
    RelayPeers m_relayPeers;
    AsyncAdmissionQueue m_admissionQueue;
    Metrics m_metrics;
    std::unique_ptr<UpstreamClient> m_upstream;
    StreamRegistry m_streams;
    EntryReports m_reports;
    ForwardingContext m_context;
    PathProber m_prober;
    RoutedHandler m_handler;
    RelayHandler m_relayHandler;
    HttpServer m_server;
    HttpServer m_relayServer; // For requests that other entry instances relay.
    StateFeed m_feed;
    std::unordered_map<std::uint32_t, BackendId> m_backendsByHash; // All servers known; the smaller of two ids with the same hash.
    std::map<std::uint32_t, BackendUsage> m_reportedUsage; // This instance's last report, by backend hash.
    std::uint32_t m_minConnectionLimit = 0; // Smallest `maxConnections` of any service; 0 if no service sets one.
    bool m_isDraining = false;
    bool m_wasReady = false;
};

} // namespace HickoryHollow
