/** \file
 * Whether the process at a server's address may be another start than the one that its record names. A server that starts again under its
 * id and address is known by the start before until its announcement has come here. Answers for streams, which go on only at the version
 * that began them.
 */
#pragma once

#include "base/Time.h"

#include <optional>

namespace HickoryHollow {

/** Of one server, as one entry instance sees it. Used by one thread; reads no clock. */
class StartEvidence {
public:
    /** A record came that names another start than the one before. */
    void recordStart() { m_signs.reset(); }
    /** Records a sign that the server has ended: it broke a call off, or took no connection. */
    void recordEnd(TimePoint now) { m_signs = { .first = m_signs ? m_signs->first : now, .last = now }; }
    /**
     * Returns true if the process at the other end of a connection may be one that has not been announced here. It has run since
     * `runsSince`, or for longer. `announceTime` is the longest time from a start until its record has come. Forgets the signs that the
     * process refutes.
     */
    bool mayBeUnannounced(TimePoint runsSince, TimePoint now, Duration announceTime);

private:
    struct Signs {
        TimePoint first {};
        TimePoint last {};
    };

    std::optional<Signs> m_signs; // Since the record of the present start came; nothing if there were none, or all are refuted.
};

} // namespace HickoryHollow
