/** \file
 * Logging to standard output that never blocks: lines are buffered and written in batches. Lines above a rate limit, or that
 * do not fit into the buffer because the reader of standard output is slow, are dropped and their number is logged.
 */
#pragma once

namespace HickoryHollow {

/** Installs this log as the default logger of the process. Call once, before the first line is logged. */
void useBoundedLog();
/** Writes the buffered lines. Call a few times a second and before the process ends. */
void flushLog();

} // namespace HickoryHollow
