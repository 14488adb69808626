/** \file
 * An immutable value that many threads read without a lock and few replace as a whole (read-copy-update).
 *
 * A build with HICKORY_PLAIN_SNAPSHOT uses a mutex instead, because liburcu carries no ThreadSanitizer annotations.
 */
#pragma once

#include <atomic>
#include <memory>
#include <mutex>

namespace HickoryHollow {

namespace Internal {

/** Enters a read section on construction and leaves it on destruction. Never held over a suspension. */
class ReadSection {
public:
    ReadSection();
    ~ReadSection();
    ReadSection(const ReadSection&) = delete;
    ReadSection& operator=(const ReadSection&) = delete;
};

/** Returns once every read section that was open at the call has ended. */
void waitForReaders();

} // namespace Internal

/** Holder of the current value. Readers get a shared pointer to it; it stays valid while they keep that. */
template <typename T>
class Snapshot {
public:
    explicit Snapshot(std::shared_ptr<const T> value)
        : m_current(new std::shared_ptr<const T>(std::move(value)))
    {
    }
    ~Snapshot() { delete m_current.load(); }
    Snapshot(const Snapshot&) = delete;
    Snapshot& operator=(const Snapshot&) = delete;

    /** Wait-free but for the count of the shared pointer. */
    std::shared_ptr<const T> load() const
    {
        const Internal::ReadSection section;
        return *m_current.load(std::memory_order_acquire);
    }

    /** Publishes a new value; blocks until no reader can still copy the old holder. */
    void store(std::shared_ptr<const T> value)
    {
        const std::lock_guard lock(m_writers);
        auto* next = new std::shared_ptr<const T>(std::move(value));
        auto* previous = m_current.exchange(next, std::memory_order_acq_rel);
        Internal::waitForReaders();
        delete previous;
    }

private:
    std::mutex m_writers;
    std::atomic<std::shared_ptr<const T>*> m_current;
};

} // namespace HickoryHollow
