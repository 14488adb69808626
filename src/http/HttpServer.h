/** \file
 * HTTP/1.1 server with keep-alive over the process's event loops, with limits on what a peer can make it hold.
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

class EventLoops;
class HttpHandler;

/** What a peer may send and how long it may take. */
struct HttpLimits {
    std::size_t headerBytes = 16UL * 1024;
    std::size_t bodyBytes = 8UL * 1024 * 1024;
    Duration headerTime = std::chrono::seconds(60); ///< From the first byte of a request to the end of its header.
    Duration idleTime = std::chrono::seconds(60); ///< Without a request, and between two reads of a body.
};

struct HttpServerOptions {
    std::string address; ///< `ip:port` to listen on.
    /** Asked for each request. */
    std::function<HttpLimits()> limits = [] { return HttpLimits {}; };
    std::size_t maxConnections = 20'000; ///< Further ones are answered 503 and closed.
    Duration writeTimeout = std::chrono::seconds(20); ///< For the peer to take one piece of a response.
};

class HttpServer {
public:
    /** Opens the listeners; throws UserError. `loops` and `handler` outlive the server. */
    HttpServer(EventLoops& loops, HttpHandler& handler, HttpServerOptions);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /** From now on each response that begins closes its connection. New connections are still taken. */
    void startDrain();
    /** Closes connections on which no request is underway. Call on the server's loop, where there is only one. */
    void closeIdle();
    /** Requests that were read since the start. */
    std::uint64_t requestsRead() const;
    /** Requests that were read and not yet answered whole. */
    std::size_t requestsInProgress() const;

private:
    struct Shared;

    std::shared_ptr<Shared> m_shared;
};

} // namespace HickoryHollow
