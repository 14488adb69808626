/** \file
 * The RoutedBench with sockets in the place of its scripted servers.
 */
#pragma once

#include "http/UpstreamClient.h"
#include "test/fakes/RoutedBench.h"

namespace HickoryHollow::Fakes {

class SocketBench : public RoutedBench {
public:
    /** The bench's own servers, which have no sockets, get no requests. */
    SocketBench()
    {
        for (const auto* it : { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1" })
            selector.recordLeaving(BackendId(it), Incarnation(1));
    }

    /** Serves the request and returns once the exchange has ended. */
    void serveBySockets(const HttpRequest& http)
    {
        auto isDone = false;
        asio::co_spawn(loop, socketHandler.handle(http, writer), [&isDone](const auto&) { isDone = true; });
        while (!isDone)
            loop.run_one_for(std::chrono::milliseconds(100));
    }

    std::unique_ptr<UpstreamClient> client = makeUpstreamClient(loop, { .connectTimeout = std::chrono::milliseconds(300), .acceptsCloseDelimited = true });
    ForwardingContext socketContext { .loop = loop, .codec = codec, .routing = routing, .selector = selector, .promptGuard = promptGuard, .admissionQueue = admissionQueue, .streamOrigins = streamOrigins, .upstream = *client, .relayPeers = relayPeers, .random = random, .metrics = metrics, .retryOptions = { .ratio = 0.2, .slack = 10, .window = std::chrono::seconds(10) }, .startedAt = context.startedAt };
    RoutedHandler socketHandler { socketContext };
};

} // namespace HickoryHollow::Fakes
