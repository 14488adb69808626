/** \file
 * Who uses the deployment while the soak harms it: callers, the operator, and what announces the backend servers. Each has
 * threads of its own and notes in the record what it saw.
 */
#pragma once

#include "base/SeededRandom.h"
#include "soak/Fleet.h"
#include "soak/Record.h"

#include <atomic>
#include <thread>
#include <vector>

namespace HickoryHollow::Soak {

/** Callers with connections that they keep until they fail, at entry instances in turn. */
class Callers {
public:
    Callers(const Fleet&, Record&, int callers, std::uint64_t seed);
    ~Callers();
    Callers(const Callers&) = delete;
    Callers& operator=(const Callers&) = delete;

    /** One request by a caller of its own; true when it was served. */
    static bool askOnce(const std::string& address, Record&, const std::string& id, Kind);

private:
    void run(const Fleet&, int number, std::uint64_t seed);

    Record& m_record;
    std::atomic<bool> m_isOver = false;
    std::vector<std::thread> m_threads;
};

/** Changes the configuration over and over, at any state instance, reads it back, and takes a key away and gives it back. */
class Operator {
public:
    Operator(const Fleet&, Record&, std::uint64_t seed);
    ~Operator();
    Operator(const Operator&) = delete;
    Operator& operator=(const Operator&) = delete;

    /** Waits until a change is acknowledged; false after the patience. */
    bool changeNow(std::chrono::seconds patience);
    /** Every state instance reads back the newest acknowledged version, or a later one that was sent. */
    void checkReads(std::chrono::seconds patience);
    std::uint64_t acknowledged() const { return m_acknowledged; }

private:
    void run();
    bool submit(std::uint64_t version, bool withKey);
    std::uint64_t read(int state);

    const Fleet& m_fleet;
    Record& m_record;
    SeededRandom m_random;
    std::uint64_t m_version = 0; // Sent last.
    std::atomic<std::uint64_t> m_acknowledged = 0;
    std::atomic<bool> m_isOver = false;
    std::thread m_thread;
};

/** Announces the backend servers until it ends; those that leave say so. */
class Announcer {
public:
    Announcer(Fleet&, int backends);
    ~Announcer();
    Announcer(const Announcer&) = delete;
    Announcer& operator=(const Announcer&) = delete;

private:
    void run(Backend&);

    const Fleet& m_fleet;
    std::atomic<bool> m_isOver = false;
    std::vector<std::thread> m_threads;
};

} // namespace HickoryHollow::Soak
