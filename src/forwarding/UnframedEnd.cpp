#include "forwarding/UnframedEnd.h"

namespace HickoryHollow {

UnframedEnd judgeUnframedEnd(const UnframedEndFacts& facts)
{
    if (!facts.runsSince)
        return UnframedEnd::Unknown;
    if (facts.runsSinceNow && *facts.runsSinceNow <= *facts.runsSince)
        return UnframedEnd::Whole;
    // Its connections end with its last answer, whole or not.
    if (facts.isLeaving && !facts.isBoundToServe)
        return UnframedEnd::Unknown;
    return facts.wasWatched || !facts.isReached ? UnframedEnd::BrokenOff : UnframedEnd::Unknown;
}

} // namespace HickoryHollow
