/** \file
 * Callers of the part `streams`. They keep their connections, some read slowly, and they take up streams that break off, at any instance. Some
 * leave a stream in its midst and take it up at another instance, also while the first one still holds it.
 */
#pragma once

#include "base/SeededRandom.h"
#include "soak/BlockingHttpClient.h"
#include "soak/Deployment.h"
#include "soak/StreamLedger.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace HickoryHollow::Soak {

class StreamCallers {
public:
    struct Options {
        int callers = 40;
        std::chrono::milliseconds timeLimit {}; ///< Of each try.
        std::chrono::milliseconds shortestTimeout {}; ///< Of the routes, over all configurations.
        std::uint64_t seed = 1;
    };

    /** Starts the callers; the destructor waits until each has ended its stream. */
    StreamCallers(const Deployment&, StreamLedger&, Options);
    ~StreamCallers();
    StreamCallers(const StreamCallers&) = delete;
    StreamCallers& operator=(const StreamCallers&) = delete;

private:
    /** A caller's connection, which it keeps while it can. */
    struct Kept {
        std::unique_ptr<BlockingHttpClient> client;
        int entry = 0;
    };

    /** Connects if there is no connection: to another instance than the one that it has left, or to any. */
    void connect(Kept&, bool hasLeft, SeededRandom&);
    void run(int number);
    void runStream(const std::string& stream, Kept&, SeededRandom&);

    const Deployment& m_deployment;
    StreamLedger& m_ledger;
    Options m_options;
    std::atomic<bool> m_isStopping = false;
    std::vector<std::thread> m_threads;
};

/** Prefixes of the routes, with the attempts that they allow. */
inline const std::string twoAttemptsPrefix = "/two/";
inline const std::string threeAttemptsPrefix = "/three/";

} // namespace HickoryHollow::Soak
