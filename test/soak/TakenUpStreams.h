/** \file
 * Callers of streams whose events name the version that wrote them. They take broken streams up, mostly at another instance.
 */
#pragma once

#include "base/SeededRandom.h"
#include "soak/Deployment.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace HickoryHollow::Soak {

class TakenUpStreams {
public:
    /** Starts the callers; the destructor stops them. */
    TakenUpStreams(const Deployment&, GuaranteeChecker&, int callers, std::uint64_t seed);
    ~TakenUpStreams();
    TakenUpStreams(const TakenUpStreams&) = delete;
    TakenUpStreams& operator=(const TakenUpStreams&) = delete;

    /** How many new streams began, and how many of those taken up went on, of those that an instance answered. */
    std::string summary() const;

private:
    void run(int number, std::uint64_t seed);
    /** Sends one stream and takes it up while it breaks off. */
    void runStream(const std::string& id, SeededRandom&);

    const Deployment& m_deployment;
    GuaranteeChecker& m_checker;
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_sent = 0;
    std::atomic<int> m_begun = 0;
    std::atomic<int> m_takenUp = 0;
    std::atomic<int> m_goneOn = 0;
    std::vector<std::thread> m_threads;
};

} // namespace HickoryHollow::Soak
