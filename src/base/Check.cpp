#include "base/Check.h"

#include <cstdio>
#include <cstdlib>

namespace HickoryHollow {

void internalAssert(bool condition, const char* what, const char* file, int line)
{
    if (condition)
        return;
    std::fprintf(stderr, "internal error at %s:%d: %s\n", file, line, what);
    std::abort();
}

} // namespace HickoryHollow
