/** \file
 * What the scheduler decided about one job. The job is forgotten by the queue from then on.
 */
#pragma once

#include "base/Ids.h"
#include "base/RouterError.h"
#include "base/Time.h"

#include <vector>

namespace HickoryHollow {

struct Decision {
    enum class Kind {
        Start, ///< Send it to `backend`; report its end with Scheduler::finished.
        Refuse, ///< It did not run and will not; `error` says why.
    };

    Kind kind = Kind::Refuse;
    RequestId id;
    BackendId backend;
    RouterError error = RouterError::Overloaded;
    Duration retryAfter {}; ///< Zero where waiting does not help.
};

using Decisions = std::vector<Decision>;

} // namespace HickoryHollow
