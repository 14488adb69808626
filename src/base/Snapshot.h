/** \file
 * An immutable value that many threads read without a lock and that a writer replaces as a whole (read-copy-update).
 *
 * A build with HICKORY_PLAIN_SNAPSHOT uses a mutex instead, because ThreadSanitizer cannot see the ordering in liburcu.
 */
#pragma once

#include <atomic>
#include <memory>
#include <mutex>

namespace HickoryHollow {

namespace Internal {

/** Read-side critical section (RCU) for its lifetime. Must not live across a coroutine suspension. */
class ReadSection {
public:
    ReadSection();
    ~ReadSection();
    ReadSection(const ReadSection&) = delete;
    ReadSection& operator=(const ReadSection&) = delete;
};

/** Blocks until every read section that was open at the time of the call has ended (RCU grace period). */
void waitForReaders();

} // namespace Internal

/** Holds the current value. A reader gets a shared pointer, which keeps the value alive after it has been replaced. */
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

    /** Returns the current value. Wait-free, except for the reference count of the shared pointer. */
    std::shared_ptr<const T> load() const
    {
        const Internal::ReadSection section;
        return *m_current.load(std::memory_order_acquire);
    }

    /** Publishes a new value. Blocks until no reader can still be copying the previous shared pointer. */
    void store(std::shared_ptr<const T> value)
    {
        const std::lock_guard lock(m_writerMutex);
        auto* next = new std::shared_ptr<const T>(std::move(value));
        auto* previous = m_current.exchange(next, std::memory_order_acq_rel);
        Internal::waitForReaders();
        delete previous;
    }

private:
    std::mutex m_writerMutex;
    std::atomic<std::shared_ptr<const T>*> m_current;
};

} // namespace HickoryHollow
