/** \file
 * A connection to a server that carries no request, as evidence of what has become of the server's process: see OpenConnections. All who
 * watch a server share it. Part of UpstreamClient.
 */
#pragma once

#include "base/Time.h"

#include <optional>

namespace HickoryHollow {

class ServerWatch {
public:
    virtual ~ServerWatch() = default;
    /** As UpstreamCall::serverRunsSince(), also after the server has ended the connection; nothing until it is open. */
    virtual std::optional<TimePoint> runsSince() const = 0;
    /** True if the server has ended the connection, or it could not be opened. */
    virtual bool hasEnded() const = 0;
    /** True if it did so by a reset, which is no sign that its process has ended. */
    virtual bool wasReset() const = 0;
};

} // namespace HickoryHollow
