#include "placement/StartEvidence.h"

namespace HickoryHollow {

bool StartEvidence::mayBeUnannounced(TimePoint runsSince, TimePoint now, Duration announceTime)
{
    if (!m_signs)
        return false;
    const auto wouldBeKnown = now >= runsSince + announceTime;
    // What is read of a process that has just ended may have been sent before.
    if (wouldBeKnown && now >= m_signs->last + announceTime)
        m_signs.reset();
    return !wouldBeKnown && runsSince >= m_signs->first;
}

} // namespace HickoryHollow
