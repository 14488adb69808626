/** \file
 * Callers that send bodies of the largest permitted size, with a length, in chunks and slowly, and a watch that ends each entry instance
 * that uses more memory than it has, as the platform does.
 */
#pragma once

#include "soak/Deployment.h"
#include "soak/GuaranteeChecker.h"

#include <atomic>
#include <thread>
#include <vector>

namespace HickoryHollow::Soak {

class LargeCallers {
public:
    /** Starts this number of callers, each on a thread. The seed determines entry instances and how bodies are sent. */
    LargeCallers(Deployment&, GuaranteeChecker&, int callers, std::uint64_t seed);
    ~LargeCallers();
    LargeCallers(const LargeCallers&) = delete;
    LargeCallers& operator=(const LargeCallers&) = delete;

    /** Largest memory of an entry instance that was seen, in bytes. */
    std::size_t mostResidentBytes() const { return m_mostResidentBytes; }
    /** Number of large bodies that were answered with 200. */
    int served() const { return m_served; }

private:
    void run(int number, std::uint64_t seed);
    void watch();

    Deployment& m_deployment;
    GuaranteeChecker& m_checker;
    std::atomic<bool> m_isStopping = false;
    std::atomic<std::size_t> m_mostResidentBytes = 0;
    std::atomic<int> m_served = 0;
    std::vector<std::thread> m_threads;
};

} // namespace HickoryHollow::Soak
