/** \file
 * What all entry instances together know of the streams that they passed on.
 */
#pragma once

#include "net/Task.h"
#include "placement/StreamOrigins.h"

#include <optional>

namespace HickoryHollow {

class StreamOriginSource {
public:
    virtual ~StreamOriginSource() = default;

    /** Records that a stream began. Call before its first event is passed on. */
    virtual void record(const StreamOrigin&) = 0;
    /** Returns the version at which the stream began; nothing if that is not known for certain. Takes until `end` at most. */
    virtual Task<std::optional<VersionId>> find(StreamId, const ServiceId&, TimePoint end) = 0;
};

} // namespace HickoryHollow
