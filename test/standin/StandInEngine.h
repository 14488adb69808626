/** \file
 * A small stand-in for a backend server: a model engine that batches continuously, or a plain service that counts what
 * it executed. Its faults are set over HTTP (`POST /control`).
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
    std::string address;
    std::string service;
    std::vector<std::string> models; ///< Empty for a plain service.
    std::string failureDomain;
    unsigned slots = 8;
    std::chrono::microseconds tokenTime { 10'000 }; ///< Between two tokens with one running request.
    std::chrono::microseconds prefillTime { 30'000 }; ///< Before the first token; a third of it with a cached prefix.
    double batchSlowdown = 0.5; ///< Added share of the token time with a full batch.
    std::chrono::milliseconds reportLag { 300 };
    std::vector<std::string> announceTo; ///< Addresses in turn, as a balancer would give them.
};

/** Runs on one event loop. */
class StandInEngine final : public HttpHandler {
public:
    StandInEngine(asio::io_context&, StandInOptions);

    Task<void> handle(const HttpRequest&, ResponseWriter&) override;
    /** Announces the engine every 500 ms until it leaves. */
    Task<void> announceLoop();
    void leave() { m_isLeaving = true; }

private:
    struct Waiter {
        Timer timer;
        unsigned priority;
    };

    Task<void> complete(const HttpRequest&, ResponseWriter&);
    Task<void> execute(const HttpRequest&, ResponseWriter&);
    HttpResponse control(const HttpRequest&);
    HttpResponse executed() const;
    Task<void> waitForSlot(unsigned priority);
    void releaseSlot();
    Task<void> pause(std::chrono::microseconds);
    std::chrono::microseconds tokenInterval() const;
    bool touchPrefix(const std::string&);
    std::string announcement();

    asio::io_context& m_loop;
    StandInOptions m_options;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    unsigned m_running = 0;
    std::list<std::shared_ptr<Waiter>> m_queue; // By priority, then arrival.
    std::deque<std::pair<std::chrono::steady_clock::time_point, unsigned>> m_loadHistory; // For lagging reports.
    std::list<std::string> m_prefixes; // Most recent first.
    std::map<std::string, unsigned> m_executions; // By Idempotency-Key.
    double m_slowness = 1;
    std::int64_t m_breakAfterTokens = -1; // Breaks streams off after so many tokens; negative never.
    bool m_refusesAsNotRun = false;
    bool m_isSilent = false; // Takes requests and never answers.
    bool m_isLeaving = false;
    std::uint64_t m_tokens = 0;
    std::uint64_t m_abandonedTokens = 0; // Tokens of requests whose caller went away.
};

} // namespace HickoryHollow
