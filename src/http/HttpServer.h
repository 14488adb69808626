/** \file
 * HTTP/1.1 server with keep-alive over the process's event loops, with limits on what a peer can make it hold.
 */
#pragma once

#include "base/Time.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>

namespace HickoryHollow {

class EventLoops;
class HttpHandler;

struct HttpServerOptions {
    std::string address; ///< `ip:port` to listen on.
    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 8UL * 1024 * 1024;
    std::size_t maxConnections = 20'000; ///< Further ones are answered 503 and closed.
    Duration idleTimeout = std::chrono::seconds(60); ///< For the next request's header, and for its body.
    Duration writeTimeout = std::chrono::seconds(20); ///< For the peer to take one piece of a response.
};

class HttpServer {
public:
    /** Opens the listeners; throws UserError. `loops` and `handler` outlive the server. */
    HttpServer(EventLoops& loops, HttpHandler& handler, HttpServerOptions);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /** From now on each response closes its connection, and idle connections are closed. */
    void startDrain();
    /** Requests that were read and not yet answered whole. */
    std::size_t requestsInProgress() const;

private:
    struct Shared;

    std::shared_ptr<Shared> m_shared;
};

} // namespace HickoryHollow
