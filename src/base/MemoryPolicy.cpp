#include "base/MemoryPolicy.h"

#include <malloc.h>

namespace HickoryHollow {

namespace {

constexpr int largeBufferBytes = 128 << 10; // The library's initial value; setting it keeps it from growing.

} // namespace

void returnFreedMemory()
{
    ::mallopt(M_MMAP_THRESHOLD, largeBufferBytes);
    ::mallopt(M_TRIM_THRESHOLD, largeBufferBytes);
}

} // namespace HickoryHollow
