/** \file
 * What operators and backend servers can ask of a state instance, whatever protocol carries it.
 */
#pragma once

#include "ledger/Commands.h"
#include "membership/BackendRecord.h"
#include "net/Task.h"

#include <optional>
#include <string>

namespace HickoryHollow {

/** Answer to a submitted routing configuration. */
struct RoutingSubmission {
    enum class Outcome {
        Accepted, ///< On a quorum of disks, or already overtaken by a higher version that is.
        Invalid, ///< `complaint` names the fault. Nothing was stored.
        Unavailable, ///< It may or may not come into force; send it again.
    };

    Outcome outcome = Outcome::Unavailable;
    std::string complaint;
};

class ControlPlane {
public:
    virtual ~ControlPlane() = default;

    virtual Task<RoutingSubmission> submitRouting(std::string text) = 0;
    /** The newest accepted configuration, or nothing where no quorum vouches for it soon enough. */
    virtual Task<std::optional<RoutingDocument>> newestRouting() = 0;
    /** False for a report that is older than what is known. */
    virtual bool announce(const BackendRecord&) = 0;
    /** The backend server of that name takes no further work. False where none is known. */
    virtual bool retire(const std::string& serverName, std::optional<Incarnation>) = 0;
};

} // namespace HickoryHollow
