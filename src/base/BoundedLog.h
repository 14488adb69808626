/** \file
 * Log lines to standard output that never wait for their reader: lines are gathered and written together, and lines
 * over a rate, or that a slow reader leaves no room for, are dropped and counted.
 */
#pragma once

namespace HickoryHollow {

/** Makes the process's log go that way. Call once, before the first line. */
void useBoundedLog();
/** Writes what was gathered. Call a few times a second and before the process ends. */
void flushLog();

} // namespace HickoryHollow
