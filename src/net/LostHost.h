/** \file
 * Lets the kernel end connections whose peer's host is lost: one without power neither responds nor resets. A host that still
 * acknowledges is not lost, even if its process reads nothing for long.
 */
#pragma once

#include "base/Time.h"

#include <chrono>

namespace HickoryHollow {

/** Settings of one connection. On Linux, a user timeout that is set also decides when keep-alive probes give up, whatever their count. */
struct LostHostLimits {
    std::chrono::milliseconds userTimeout {}; ///< Sent bytes, probes or a window without room end the connection after this time.
    std::chrono::seconds probeInterval {}; ///< Before the first keep-alive probe and between two.
};

/** Limits close to `silence`, with which a link that loses a single probe keeps its connections. Precondition: `silence` is positive. */
LostHostLimits lostHostLimits(Duration silence);

/** Sets the limits of a TCP socket. */
void setLostHostLimits(int socket, const LostHostLimits&);
/** Sets the user timeout alone. */
void setUserTimeout(int socket, std::chrono::milliseconds);

/** True if the peer's host has acknowledged all that was sent to it and has no room for the bytes that are left. */
bool awaitsRoom(int socket);

} // namespace HickoryHollow
