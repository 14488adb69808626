/** \file
 * HTTP client for calls to backend servers, with a pool of persistent connections for each event loop. Every result states
 * whether the request may have run on the server.
 */
#pragma once

#include "base/Time.h"
#include "base/Verdict.h"
#include "http/HttpMessage.h"
#include "net/Task.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace HickoryHollow {

class BufferBudget;
class ServerWatch;

/** Timeouts of one call to a backend server. */
struct UpstreamTimeouts {
    Duration head = std::chrono::seconds(120); ///< From the start of sending the request to the end of the response header.
    Duration chunk = std::chrono::seconds(30); ///< Between two chunks of the response body.
    Duration maxIdleTime = std::chrono::hours(1); ///< This call reuses no pooled connection that was idle for longer.
};

struct UpstreamOptions {
    Duration connectTimeout = std::chrono::seconds(1);
    /**
     * About the time without acknowledgement after which a server's host is lost and its connection ended: for sent bytes, and
     * for two keep-alive probes (net/LostHost.h). A host without room for a long request is not lost.
     */
    Duration tcpUserTimeout = std::chrono::seconds(10);
    /** If true, a body without a length is complete when the server closes without a reset; otherwise it is malformed. */
    bool acceptsCloseDelimited = false;
    std::size_t maxIdlePerServer = 256; ///< Idle connections kept for each backend server.
    Duration idleTimeout = std::chrono::seconds(20); ///< A connection that was idle for longer is not reused.
};

/** Result of sending a request and reading the response header. */
struct UpstreamHead {
    std::error_code ec; ///< Not set if a valid header was received.
    Verdict verdict = Verdict::NotRun; ///< `MayHaveRun` from the moment that the request may have been sent in part.
    unsigned status = 0;
    HttpFields fields;
    bool isCloseDelimited = false; ///< The body has neither a length nor chunks, and ends with the connection.

    /** Length of the body as the server announced it; 0 if it did not. */
    std::size_t contentLength() const;
};

/** One chunk of a response body, as received; it need not match a chunk of the transfer encoding. */
struct UpstreamChunk {
    std::error_code ec; ///< Set if the rest of the body cannot be read.
    std::string_view bytes; ///< Valid until the next read or the end of the call.
    bool isLast = false; ///< The body is complete according to its framing.
};

/** True for the header of a response to another request, which a faulty server sent late on a reused connection. */
using IsMismatchedResponse = std::function<bool(unsigned status, const HttpFields&)>;

/**
 * Called once a connection is open, right before the first byte of the request is sent, which may be long after begin() was
 * called. May adjust the request to the time that has passed; returns false if it must not be sent any more.
 */
using BeforeSend = std::function<bool(HttpRequest&)>;

/** One request to one backend server. Its destructor closes the connection if the response was not read to its end. */
class UpstreamCall {
public:
    virtual ~UpstreamCall() = default;

    /** Sends the request and reads the response header. Call once. */
    virtual Task<UpstreamHead> begin(const HttpRequest&) = 0;
    /** Reads the next chunk of the body. Call after a successful begin, until `isLast` or an error. */
    virtual Task<UpstreamChunk> readChunk() = 0;
    /** Makes begin skip responses for which `test` is true, two at most. Call before begin. */
    virtual void skipMismatchedResponses(const IsMismatchedResponse&) { }
    /**
     * Sets the last check before the request is sent; without one, it is sent as passed to begin(). If the check forbids
     * it, begin() returns RouterError::SendForbidden with Verdict::NotRun.
     */
    virtual void checkBeforeSending(const BeforeSend&) { }
    /** True if the request was sent on a connection that had served another request. Valid after begin. */
    virtual bool reusedConnection() const { return false; }
    /**
     * Time since which the process that the request was sent to has run without an end, as the connections show that were open
     * meanwhile; nothing before there is a connection. It may have run for longer. Valid from the check before sending on.
     */
    virtual std::optional<TimePoint> serverRunsSince() const { return std::nullopt; }
    /** True if bytes have come that no read has taken yet, as while the event loop was busy. */
    virtual bool hasUnreadBytes() const { return false; }
    /** Makes a pending begin or read end with an error. Call on the event loop of the call only. */
    virtual void cancel() = 0;
};

/** Opens calls to backend servers. Each event loop has its own client. */
class UpstreamClient {
public:
    virtual ~UpstreamClient() = default;

    /** Prepares a call without connecting; `address` is the `ip:port` of the backend server. */
    virtual std::unique_ptr<UpstreamCall> open(const std::string& address, const UpstreamTimeouts&) = 0;
    /** Opens a connection that a later call may use, to learn whether the server can be reached. */
    virtual Task<std::error_code> connect(const std::string& address) = 0;
    /** As UpstreamCall::serverRunsSince(), by the connections to `address` that are open now; nothing if there are none. */
    virtual std::optional<TimePoint> serverRunsSince(const std::string& /*address*/) const { return std::nullopt; }
    /** Watches the process at `address`; null if this client cannot. A watch that has ended is not taken up again. */
    virtual std::shared_ptr<ServerWatch> watch(const std::string& /*address*/) { return nullptr; }
    /** Bounds what headers and framing take beyond the usual. The budget outlives all calls. */
    virtual void setAnswerBudget(BufferBudget&) { }
    /** Sets the number of idle connections kept for each server and closes those above it. */
    virtual void setMaxIdleConnections(std::size_t) { }
    std::unique_ptr<UpstreamCall> open(const std::string& address) { return open(address, UpstreamTimeouts {}); }
};

/** Makes a client that uses TCP sockets on this event loop. */
std::unique_ptr<UpstreamClient> makeUpstreamClient(asio::io_context&, const UpstreamOptions&);

} // namespace HickoryHollow
