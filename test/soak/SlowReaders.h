/** \file
 * Callers that read streams slowly while entry instances are stopped, and report streams that began and were lost.
 */
#pragma once

#include "soak/Deployment.h"
#include "soak/GuaranteeChecker.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace HickoryHollow::Soak {

class SlowReaders {
public:
    /** Starts the callers; the destructor stops them. The seed determines the streams and how they are read. */
    SlowReaders(const Deployment&, GuaranteeChecker&, std::uint64_t seed);
    ~SlowReaders();
    SlowReaders(const SlowReaders&) = delete;
    SlowReaders& operator=(const SlowReaders&) = delete;

    /** The instance gets SIGTERM now. Thread-safe. */
    void recordStop(int instance);
    /** How many streams were read to their end, and how many of them began before a stop of their instance and ended in it. */
    std::string summary() const;

private:
    void run(int number, std::uint64_t seed);
    /** Reports the stream unless a bound of the users' rule excuses its loss. */
    void judgeLoss(const std::string& id, int instance, Clock::time_point sentAt, std::size_t bytes);
    /** The instance's latest SIGTERM before the moment; the beginning of time if there was none. */
    Clock::time_point lastStop(int instance, Clock::time_point before) const;

    const Deployment& m_deployment;
    GuaranteeChecker& m_checker;
    mutable std::mutex m_mutex; // Guards the stops.
    std::map<int, std::vector<Clock::time_point>> m_stops;
    std::atomic<int> m_read = 0;
    std::atomic<int> m_acrossStops = 0;
    std::atomic<bool> m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace HickoryHollow::Soak
