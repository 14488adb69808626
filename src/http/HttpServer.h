/** \file
 * HTTP/1.1 server with keep-alive on the event loops of the process. Limits bound the memory and time that a peer can use.
 */
#pragma once

#include "base/Time.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace HickoryHollow {

class BodyBudget;
class EventLoops;
class HttpHandler;

/** Limits on the size of a request and on the time that a peer takes to send it. */
struct HttpLimits {
    std::size_t headerBytes = 16UL * 1024;
    std::size_t bodyBytes = 8UL * 1024 * 1024;
    /** Maximum time from the first byte of a request to the end of its header. */
    Duration headerTimeout = std::chrono::seconds(60);
    /** Maximum time from the end of one request to the start of the next, and for the body of a request to arrive. */
    Duration idleTimeout = std::chrono::seconds(60);
    /**
     * Maximum size of one chunk's framing or of the trailers of a chunked body, and of all framing of a body beyond 16 bytes for
     * each byte of its content.
     */
    std::size_t framingBytes = 16UL * 1024;
};

struct HttpServerOptions {
    std::string address; ///< `ip:port` to listen on.
    /** Called before each request, so that changed limits apply to connections that are already open. */
    std::function<HttpLimits()> limits = [] { return HttpLimits {}; };
    /** Memory for the bodies of requests; null sets no limit. Where there is no room, bodies are not read. */
    std::shared_ptr<BodyBudget> bodies = nullptr;
    /**
     * While there are more, each request closes the connection that has been idle longest, or is answered 503 and its own connection
     * closed if none is idle. Beyond an eighth more, a new connection closes one that is idle as well.
     */
    std::size_t maxConnections = 20'000;
    /** Maximum time for one write: a complete response, or the header or one chunk of a stream. */
    Duration writeTimeout = std::chrono::seconds(20);
    /** Maximum time for the peer to close its side after the last answer on a connection. */
    Duration closeTimeout = std::chrono::seconds(1);
};

class HttpServer {
public:
    /** Opens one listener on each loop; throws UserError if that fails. `loops` and `handler` must outlive the server. */
    HttpServer(EventLoops& loops, HttpHandler& handler, HttpServerOptions);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /** Makes every response that starts from now on close its connection. New connections are still accepted. */
    void startDrain();
    /**
     * Closes connections on which no byte of a request has arrived, and from now on those that have served one and on which no
     * further one has arrived; other requests are still served. Only for a server with one loop; call it on that loop.
     */
    void closeIdleConnections();
    /** Number of requests that were read completely since the server started. */
    std::uint64_t requestsRead() const;
    /** Number of requests that were read completely and whose handler has not finished. */
    std::size_t requestsInProgress() const;
    /** Number of idle connections that were closed because there were too many. */
    std::uint64_t connectionsClosedForRoom() const;
    /** Number of requests that were refused for the framing of their bodies. */
    std::uint64_t framingRefusals() const;
    /** True if requests are in progress or have arrived in part, also unread, or if peers may still have to read their last answer. */
    bool hasRequests() const;

private:
    struct Shared;

    std::shared_ptr<Shared> m_shared;
};

} // namespace HickoryHollow
