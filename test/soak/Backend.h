/** \file
 * Backend servers of the soak: sign their answers, note what they ran, fail now and then, announce themselves, leave and
 * come back under another name.
 */
#pragma once

#include "base/SeededRandom.h"
#include "http/HttpHandler.h"
#include "http/HttpMessage.h"
#include "net/EventLoops.h"
#include "soak/Record.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace HickoryHollow {
class HttpServer;
}

namespace HickoryHollow::Soak {

class Backend final : public HttpHandler {
public:
    struct Options {
        std::string listen; ///< `ip:port`.
        std::string announced; ///< `ip:port` of the relay before it.
        int number = 0;
        std::uint64_t seed = 0;
    };

    Backend(Options, Record&);
    ~Backend() override;

    Task<void> handle(const HttpRequest&, ResponseWriter&) override;

    /** What it says of itself now. */
    std::string report(const std::string& state);
    std::string name() const;
    /** Another start at the same address. */
    void startAnew();
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; }
    bool isLeaving() const { return m_isLeaving; }

private:
    Task<void> answerWhole(const std::string& id, const HttpFields&, ResponseWriter&);
    Task<void> answerStream(const HttpRequest&, const std::string& id, const HttpFields&, ResponseWriter&);
    bool isLucky(std::uint64_t percent);

    Options m_options;
    Record& m_record;
    mutable std::mutex m_mutex;
    SeededRandom m_random;
    std::uint64_t m_start = 1; // Counts the starts; part of the name.
    std::uint64_t m_sequence = 0;
    std::atomic<bool> m_isLeaving = false;
    EventLoops m_loops { 1 };
    std::unique_ptr<HttpServer> m_server;
    std::thread m_thread;
};

/** The whole body that any backend server gives for a request. */
std::string wholeBody(const std::string& id);

constexpr int eventsOfStream = 6;
/** The key that comes and goes. */
inline const std::string fickleKey = "fickle-key";
inline const std::string steadyKey = "steady-key";

} // namespace HickoryHollow::Soak
