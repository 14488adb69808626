/** \file
 * Operator of the part `streams`: sends configurations in series. The routes of the streams stay, with other timeouts and weights, and other
 * routes and services come and go.
 */
#pragma once

#include "base/SeededRandom.h"
#include "soak/Deployment.h"
#include "soak/GuaranteeChecker.h"
#include "soak/StreamLedger.h"

#include <atomic>
#include <string>
#include <thread>

namespace HickoryHollow::Soak {

/** The shortest timeout of a stream's route in any configuration. */
constexpr std::chrono::milliseconds shortestStreamTimeout { 8000 };
/** The services of the streams. */
inline const std::string mainService = "st";
inline const std::string sideService = "st-b";

class StreamOperator {
public:
    /** Waits until a first configuration is acknowledged. */
    StreamOperator(const Deployment&, GuaranteeChecker&, StreamLedger&, std::uint64_t seed);
    ~StreamOperator();
    StreamOperator(const StreamOperator&) = delete;
    StreamOperator& operator=(const StreamOperator&) = delete;

    /** How many were sent and how many of them acknowledged. */
    std::string summary() const;

private:
    void run();
    /** Sends a new version to random state instances until it is acknowledged or a higher one is due. */
    void change(int tries);
    std::string nextConfiguration();

    const Deployment& m_deployment;
    GuaranteeChecker& m_checker;
    StreamLedger& m_ledger;
    SeededRandom m_random;
    std::uint64_t m_version = 0;
    std::atomic<int> m_sent = 0;
    std::atomic<int> m_acknowledged = 0;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace HickoryHollow::Soak
