/** \file
 * HTTP calls to backend servers from one event loop, over kept connections. Each result tells whether the request may
 * have run there.
 */
#pragma once

#include "base/Time.h"
#include "base/Verdict.h"
#include "http/HttpMessage.h"
#include "net/Task.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace HickoryHollow {

/** How long one call waits for a backend server. */
struct UpstreamTimeouts {
    Duration head = std::chrono::seconds(120); ///< From the sent request to the answer's header.
    Duration piece = std::chrono::seconds(30); ///< Between two pieces of the body.
    Duration idleAtMost = std::chrono::hours(1); ///< A kept connection that was idle for longer is not used.
};

struct UpstreamOptions {
    Duration connectTimeout = std::chrono::seconds(1);
    Duration silenceLimit = std::chrono::seconds(10); ///< Sent bytes that stay unacknowledged for longer end the connection.
    bool acceptsUnframed = false; ///< A body without a length is whole when its connection ends without a reset.
    std::size_t maxIdlePerServer = 256;
    Duration idleLimit = std::chrono::seconds(20); ///< A connection idle for longer is not used again.
};

/** Outcome of sending a request and reading the answer's header. */
struct UpstreamHead {
    std::error_code ec; ///< Empty when the header came.
    Verdict verdict = Verdict::NotRun; ///< Whether the request may have run; `MayHaveRun` once a byte was sent.
    unsigned status = 0;
    HttpFields fields;
};

/** One piece of an answer's body. */
struct UpstreamPiece {
    std::error_code ec; ///< Set when the body broke off.
    std::string_view bytes; ///< Valid until the next call.
    bool isLast = false; ///< The body is complete by its own framing.
};

/** True for the header of an answer to another request, which a server sent late on a kept connection. */
using IsForeignAnswer = std::function<bool(unsigned status, const HttpFields&)>;

/** One request to one backend server. Destroying it drops a connection whose answer was not read whole. */
class UpstreamCall {
public:
    virtual ~UpstreamCall() = default;

    virtual Task<UpstreamHead> begin(const HttpRequest&) = 0;
    virtual Task<UpstreamPiece> readPiece() = 0;
    /** Answers for which `test` holds are read to their end and left out, a few at most. Call before begin. */
    virtual void skipForeign(const IsForeignAnswer&) { }
    /** The request went out on a connection that had served another one. Valid after begin. */
    virtual bool usedKeptConnection() const { return false; }
    /** Ends a pending begin or readPiece with an error; callable from the same event loop only. */
    virtual void cancel() = 0;
};

/** Source of calls. One object per event loop. */
class UpstreamClient {
public:
    virtual ~UpstreamClient() = default;

    /** `address` is `ip:port` of the backend server. */
    virtual std::unique_ptr<UpstreamCall> open(const std::string& address, const UpstreamTimeouts&) = 0;
    /** From now on keeps at most so many idle connections to each server. */
    virtual void limitIdle(std::size_t) { }
    std::unique_ptr<UpstreamCall> open(const std::string& address) { return open(address, UpstreamTimeouts {}); }
};

/** The client over real sockets. */
std::unique_ptr<UpstreamClient> makeUpstreamClient(asio::io_context&, const UpstreamOptions&);

} // namespace HickoryHollow
