#include "base/Snapshot.h"

#ifdef HICKORY_PLAIN_SNAPSHOT
#include <shared_mutex>
#else
#include <urcu/urcu-memb.h>
#endif

namespace HickoryHollow::Internal {

#ifdef HICKORY_PLAIN_SNAPSHOT

namespace {

std::shared_mutex& readerMutex()
{
    static std::shared_mutex mutex;
    return mutex;
}

} // namespace

ReadSection::ReadSection()
{
    readerMutex().lock_shared();
}

ReadSection::~ReadSection()
{
    readerMutex().unlock_shared();
}

void waitForReaders()
{
    readerMutex().lock();
    readerMutex().unlock();
}

#else

namespace {

struct ThreadRegistration {
    ThreadRegistration() { urcu_memb_register_thread(); }
    ~ThreadRegistration() { urcu_memb_unregister_thread(); }
    ThreadRegistration(const ThreadRegistration&) = delete;
    ThreadRegistration& operator=(const ThreadRegistration&) = delete;
};

void registerThisThread()
{
    thread_local const ThreadRegistration registration;
    (void)registration;
}

} // namespace

ReadSection::ReadSection()
{
    registerThisThread();
    urcu_memb_read_lock();
}

ReadSection::~ReadSection()
{
    urcu_memb_read_unlock();
}

void waitForReaders()
{
    urcu_memb_synchronize_rcu();
}

#endif

} // namespace HickoryHollow::Internal
