/** \file
 * Clients that use the deployment while the soak injects faults: callers, the operator, and the announcer of the backend
 * servers. Each runs on threads of its own until it is destroyed. Callers and operator report to the guarantee checker.
 */
#pragma once

#include "base/SeededRandom.h"
#include "soak/BlockingHttpClient.h"
#include "soak/Deployment.h"
#include "soak/GuaranteeChecker.h"

#include <atomic>
#include <thread>
#include <vector>

namespace HickoryHollow::Soak {

/**
 * Callers that send one request after another, each on a thread. A caller keeps its connection until a request is not
 * served, and then connects to a random entry instance.
 */
class Callers {
public:
    /** Starts this number of callers. The seed determines entry instances, keys and kinds of their requests. */
    Callers(const Deployment&, GuaranteeChecker&, int callers, std::uint64_t seed);
    ~Callers();
    Callers(const Callers&) = delete;
    Callers& operator=(const Callers&) = delete;

    /** Sends one request with this time limit and checks its answer. Returns the status, or 0 if no complete answer came. */
    static unsigned request(BlockingHttpClient&, GuaranteeChecker&, const std::string& id, RequestKind, std::chrono::milliseconds timeLimit);
    /** Sends one request over a new connection. Returns whether it was served. */
    static bool requestOnce(const std::string& address, GuaranteeChecker&, const std::string& id, RequestKind);

private:
    void run(const Deployment&, int number, std::uint64_t seed);

    GuaranteeChecker& m_checker;
    std::atomic<bool> m_isStopping = false;
    std::vector<std::thread> m_threads;
};

/** Repeatedly submits configurations with or without the revocable key to random state instances and reads them back. */
class Operator {
public:
    /** Submits a first configuration, for which it waits up to 30 s. */
    Operator(const Deployment&, GuaranteeChecker&, std::uint64_t seed);
    ~Operator();
    Operator(const Operator&) = delete;
    Operator& operator=(const Operator&) = delete;

    /** Submits a new version until it is acknowledged. Returns false if that does not happen within the timeout. */
    bool changeConfiguration(std::chrono::seconds timeout);
    /** Reports state instances that do not return the newest acknowledged version or a later one within the timeout. */
    void checkReads(std::chrono::seconds timeout);
    /** Newest acknowledged version; 0 if there is none. */
    std::uint64_t acknowledged() const { return m_acknowledgedVersion; }

private:
    void run();
    /** Submits the configuration once, to a random state instance. Returns whether it was acknowledged. */
    bool submit(std::uint64_t version, bool withRevocableKey);
    /** Version that the state instance returns; 0 if it returns none. */
    std::uint64_t read(int state);

    const Deployment& m_deployment;
    GuaranteeChecker& m_checker;
    SeededRandom m_random;
    std::uint64_t m_submittedVersion = 0; // Version of the latest submission.
    std::atomic<std::uint64_t> m_acknowledgedVersion = 0;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

/** Sends heartbeats for the backend servers; those that leave are announced as draining. */
class Announcer {
public:
    Announcer(Deployment&, int backends);
    ~Announcer();
    Announcer(const Announcer&) = delete;
    Announcer& operator=(const Announcer&) = delete;

private:
    void run(Backend&);

    const Deployment& m_deployment;
    std::atomic<bool> m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace HickoryHollow::Soak
