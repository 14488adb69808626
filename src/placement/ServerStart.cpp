#include "placement/ServerStart.h"

#include <xxhash.h>

namespace HickoryHollow {

ServerStartId serverStartOf(const BackendId& backend, Incarnation incarnation)
{
    return ServerStartId(XXH64(backend.value().data(), backend.value().size(), incarnation.value()));
}

} // namespace HickoryHollow
