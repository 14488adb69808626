/** \file
 * Decision of the scheduler about one job. Once decided, the job is no longer queued.
 */
#pragma once

#include "base/Ids.h"
#include "base/RouterError.h"
#include "base/Time.h"

#include <vector>

namespace HickoryHollow {

struct Decision {
    enum class Kind {
        Start, ///< The caller of the scheduler sends it to `backend` and reports its end with Scheduler::finished.
        Refuse, ///< It did not run and will not; `error` says why.
    };

    Kind kind = Kind::Refuse;
    RequestId id;
    BackendId backend; ///< Empty for Refuse.
    RouterError error = RouterError::Overloaded; ///< Has no meaning for Start.
    Duration retryAfter {}; ///< For Refuse: time after which the client may try again; zero where waiting does not help.
};

using Decisions = std::vector<Decision>;

} // namespace HickoryHollow
