/** \file
 * The streams that this entry instance passed on, and through the state instances those of the others.
 */
#pragma once

#include "forwarding/StreamOriginSource.h"

namespace HickoryHollow {

class StateFeed;

class StreamRegistry final : public StreamOriginSource {
public:
    /** The feed outlives the registry's use. */
    StreamRegistry(asio::io_context& loop, StateFeed& feed)
        : m_loop(loop)
        , m_feed(feed)
    {
    }

    void record(const StreamOrigin&) override;
    Task<std::optional<VersionId>> find(StreamId, const ServiceId&, TimePoint end) override;
    std::vector<StreamOrigin> all() const { return m_origins.all(); }

private:
    asio::io_context& m_loop;
    StateFeed& m_feed;
    StreamOrigins m_origins; // Of this instance's streams only.
};

} // namespace HickoryHollow
