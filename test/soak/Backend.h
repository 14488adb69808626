/** \file
 * Simulated backend server of the soak. It seals its answers with the request's id, records what it runs, fails a small
 * share of the requests, and can leave and come back as a new incarnation.
 */
#pragma once

#include "base/SeededRandom.h"
#include "http/HttpHandler.h"
#include "http/HttpMessage.h"
#include "net/EventLoops.h"
#include "soak/GuaranteeChecker.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace HickoryHollow {
class HttpServer;
}

namespace HickoryHollow::Soak {

class Backend final : public HttpHandler {
public:
    struct Options {
        std::string listen; ///< `ip:port`.
        std::string advertised; ///< `ip:port` of the proxy in front of it, which its heartbeats give.
        int number = 0; ///< Part of its name.
        std::uint64_t seed = 0; ///< Seed of its random failures.
    };

    /** Starts to serve on a thread of its own. */
    Backend(Options, GuaranteeChecker&);
    ~Backend() override;

    Task<void> handle(const HttpRequest&, ResponseWriter&) override;

    /** JSON body of its next heartbeat, with a lifecycle state such as `ready` or `draining`. */
    std::string heartbeatBody(const std::string& state);
    /** Name of the present incarnation. */
    std::string name() const;
    /** Version of its software: two, by its number. */
    std::string version() const;
    /** Simulates a restart at the same address: changes the name and no longer leaves. */
    void beginNewIncarnation();
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; }
    bool isLeaving() const { return m_isLeaving; }
    /** Names this limit of requests a second in all answers until endLimit(). */
    void nameLimit(double);
    /** Names no limit any more, and reports windows in which more requests came than it allowed. */
    void endLimit();

private:
    /** Counts an arrival, and adds the limit to the answer's fields if there is one. */
    void recordArrival(HttpFields&);
    Task<void> sendBody(const std::string& id, std::chrono::milliseconds work, const HttpFields&, ResponseWriter&);
    Task<void> sendStream(const HttpRequest&, const std::string& id, const HttpFields&, ResponseWriter&);
    Task<void> sendSlowStream(const HttpRequest&, const std::string& id, const HttpFields&, ResponseWriter&);
    /** Draws a random number; returns true with the given probability in percent. */
    bool drawChance(std::uint64_t percent);

    Options m_options;
    GuaranteeChecker& m_checker;
    mutable std::mutex m_mutex; // Guards the random generator, the incarnation, the sequence number, the limit and the arrivals.
    SeededRandom m_random;
    std::uint64_t m_incarnation = 1; // Number of starts; part of the name.
    std::uint64_t m_sequence = 0; // Number of heartbeats of this incarnation.
    std::optional<double> m_limit;
    std::vector<Clock::time_point> m_arrivals; // Since the limit was named first.
    std::atomic<bool> m_isLeaving = false;
    EventLoops m_loops { 1 };
    std::unique_ptr<HttpServer> m_server;
    std::thread m_thread;
};

/** The complete body with which every backend server answers the request, unless it streams. */
std::string expectedBody(const std::string& id);
/** An event of a stream for a caller that reads slowly; `number` counts from 1. */
std::string slowEvent(const std::string& id, std::size_t number, std::size_t bytes);
std::string expectedSlowStream(const std::string& id, std::size_t eventBytes);

constexpr int eventsPerStream = 6;
/** Path of streams whose events hold the server's version. */
inline const std::string versionedPath = "/t/versions";
constexpr std::size_t slowEvents = 24;
/** Paths of streams for callers that read slowly, with slowEvents events of the size that the request's body gives. */
inline const std::string slowPath = "/t/slow";
/** The same, of a route whose streams are not resumed. */
inline const std::string slowOncePath = "/u/slow";
/** Body of the request that crashes every server. */
inline const std::string crashingBody = "crash";
/** API key that the operator revokes and grants again. The ids of requests with it begin with `f`. */
inline const std::string revocableKey = "fickle-key";
/** API key that stays valid. */
inline const std::string permanentKey = "steady-key";

} // namespace HickoryHollow::Soak
