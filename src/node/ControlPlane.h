/** \file
 * Operations that a state instance offers to operators and backend servers, independent of the protocol that carries them.
 */
#pragma once

#include "ledger/Commands.h"
#include "membership/BackendDirectory.h"
#include "net/Task.h"

#include <optional>
#include <string>

namespace HickoryHollow {

/** Result of submitting a routing configuration. */
struct RoutingSubmission {
    enum class Outcome {
        Accepted, ///< The configuration, or one with a higher version, is committed to a quorum of disks.
        Invalid, ///< `error` names the fault. Nothing was stored.
        /** No commit was confirmed in time: the configuration may still become active. Submitting it again is safe. */
        Unavailable,
    };

    Outcome outcome = Outcome::Unavailable;
    std::string error;
};

class ControlPlane {
public:
    virtual ~ControlPlane() = default;

    /** Commits a routing configuration; `text` holds it in the format of the deployment's RoutingDecoder. */
    virtual Task<RoutingSubmission> submitRouting(std::string text) = 0;
    /** Returns the newest accepted configuration, or nothing if no quorum confirms in time that it is the newest. */
    virtual Task<std::optional<RoutingDocument>> newestRouting() = 0;
    /** Takes an announcement of a backend server. */
    virtual BackendDirectory::Outcome announce(const BackendRecord&) = 0;
    /**
     * Stops sending work to the backend server of that name. Returns false if no such server is known, or if the given
     * incarnation is older than the known one; without an incarnation the known one is retired.
     */
    virtual bool retire(const std::string& serverName, std::optional<Incarnation>) = 0;
};

} // namespace HickoryHollow
