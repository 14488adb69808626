/** \file
 * An entry instance: serves callers on the configured routes, fed by its home among the state instances.
 */
#pragma once

#include "base/RandomSource.h"
#include "forwarding/AsyncAdmissionQueue.h"
#include "forwarding/ForwardingContext.h"
#include "forwarding/RoutedHandler.h"
#include "http/HttpServer.h"
#include "http/UpstreamClient.h"
#include "node/NodeSettings.h"
#include "node/StateFeed.h"
#include "placement/BackendSelector.h"
#include "routing/ActiveRouting.h"

#include <memory>

namespace HickoryHollow {

class EventLoops;
class RoutingDecoder;

class EntryInstance {
public:
    /** Opens the callers' listener; throws UserError. The references outlive the instance. */
    EntryInstance(EventLoops&, const NodeSettings&, const RoutingDecoder&, const RequestCodec&);
    ~EntryInstance();
    EntryInstance(const EntryInstance&) = delete;
    EntryInstance& operator=(const EntryInstance&) = delete;

    void start();
    void setSeeds(const std::vector<InstanceId>&);
    /** The balancer may send new connections here. */
    bool isReady() const;
    /** Serves on for the callers that are here until they are done or the time is over. Returns the requests that were cut. */
    Task<std::size_t> drain();

    Metrics& metrics() { return m_metrics; }
    RoutingVersion routingVersion() const { return m_routing.version(); }

private:
    Task<void> tickLoop();
    void applyRouting(const RoutingDocument&);
    void takeUses(const UseReport&);
    std::vector<KeptPromptNews> ownKeptPrompts();
    void takeKeptPrompts(const std::vector<KeptPromptNews>&);
    std::map<std::uint32_t, BackendId> backendsByHash() const;
    UseReport ownUses();
    HttpLimits callerLimits() const;
    void limitIdleConnections();

    asio::io_context& m_loop;
    NodeSettings m_settings;
    const RoutingDecoder& m_decoder;
    std::unique_ptr<RandomSource> m_random;
    ActiveRouting m_routing;
    BackendSelector m_board;
    AsyncAdmissionQueue m_desk;
    Metrics m_metrics;
    std::unique_ptr<UpstreamClient> m_upstream;
    ForwardingContext m_context;
    RoutedHandler m_handler;
    HttpServer m_server;
    StateFeed m_feed;
    std::map<std::uint32_t, BackendUse> m_told; // What the last report said of this instance.
    std::uint32_t m_fewestConnections = 0; // That a server of any service accepts; 0 where no service says so.
    bool m_isDraining = false;
    bool m_wasReady = false;
};

} // namespace HickoryHollow
