/** \file
 * A simulated backend server for tests and benchmarks: either a model engine with continuous batching, or a plain service
 * that counts the executions of each Idempotency-Key. `POST /control` injects faults; `GET /executed` returns its counters.
 */
#pragma once

#include "http/HttpHandler.h"
#include "http/HttpMessage.h"
#include "net/Timer.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace HickoryHollow {

struct StandInOptions {
    /** `ip:port` given in the announcements; the HTTP server in front of the engine listens on it. */
    std::string address;
    std::string service; ///< Name of its service in the inventory.
    std::vector<std::string> models; ///< Models that the engine serves; an empty list makes it a plain service.
    std::string failureDomain;
    unsigned slots = 8; ///< Number of requests that run at the same time; further requests wait.
    /** Time between two tokens on an idle engine, or processing time of a plain service. */
    std::chrono::microseconds tokenTime { 10'000 };
    /** Time to the first token; a third of this when the prefix is cached. */
    std::chrono::microseconds prefillTime { 30'000 };
    /** Fraction by which a full batch lengthens the time between tokens; proportionally less for a smaller batch. */
    double batchSlowdown = 0.5;
    std::chrono::milliseconds reportLag { 300 }; ///< Age of the load figures in an announcement.
    /** Addresses that receive the announcements in rotation, as behind a load balancer; empty for none. */
    std::vector<std::string> announceTo;
};

/** Not thread-safe: every call and coroutine runs on the thread of one event loop. */
class StandInEngine final : public HttpHandler {
public:
    StandInEngine(asio::io_context&, StandInOptions);

    Task<void> handle(const HttpRequest&, ResponseWriter&) override;
    /** Sends an announcement every 500 ms without end; returns at once if there is no address to announce to. */
    Task<void> announceLoop();
    /** Marks the engine as leaving in all further announcements. */
    void leave() { m_isLeaving = true; }

private:
    struct Waiter {
        Timer timer; // Cancelled when the request is given a slot.
        unsigned priority; // Smaller numbers are served first.
    };

    /** Generates `standin_tokens` tokens `NONCE:INDEX` with the nonce `standin_nonce` (both of the request's JSON body). */
    Task<void> handleCompletion(const HttpRequest&, ResponseWriter&);
    /** Counts an execution of the request's Idempotency-Key and answers with the count. */
    Task<void> handleServiceRequest(const HttpRequest&, ResponseWriter&);
    HttpResponse applyControl(const HttpRequest&);
    HttpResponse executionCounts() const;
    /** Returns once the request occupies a slot. */
    Task<void> waitForSlot(unsigned priority);
    /** Passes the slot on to the first waiting request, or frees it. */
    void releaseSlot();
    Task<void> sleepFor(std::chrono::microseconds);
    /** Time between two tokens at the present load and slowdown factor. */
    std::chrono::microseconds tokenInterval() const;
    /** Makes the prefix the most recently used one of the cache. Returns whether it was cached before. */
    bool touchPrefix(const std::string&);
    /** JSON body of the next announcement. */
    std::string announcement();

    asio::io_context& m_loop;
    StandInOptions m_options;
    std::uint64_t m_incarnation; // Start time in the ticks of the system clock; grows with each start.
    std::uint64_t m_sequence = 0; // Number of announcements made.
    unsigned m_runningRequests = 0;
    std::list<std::shared_ptr<Waiter>> m_waiters; // Ordered by priority, then by arrival.
    // Running requests at past announcements; the first is reported.
    std::deque<std::pair<std::chrono::steady_clock::time_point, unsigned>> m_loadHistory;
    std::list<std::string> m_cachedPrefixes; // LRU cache, most recently used first.
    std::map<std::string, unsigned> m_executionsByKey; // The key is the Idempotency-Key.
    double m_slowdownFactor = 1; // Multiplies prefill, token and processing times.
    // The connection closes after this many tokens of an answer; negative for never.
    std::int64_t m_breakAfterTokens = -1;
    bool m_refusesAsNotRun = false; // Each request is refused with status 503 and the verdict `not-run`.
    // No answer is sent; an engine does not start the request, a plain service has run it.
    bool m_withholdsAnswers = false;
    bool m_isLeaving = false; // Announced to the routers, which then send no new requests.
    std::uint64_t m_generatedTokens = 0;
    std::uint64_t m_abandonedTokens = 0; // Tokens of requests whose caller disconnected.
};

} // namespace HickoryHollow
