/** \file
 * Remembers at which version of a service's software streams began, so that no other version continues them. Performs no I/O
 * and reads no clock.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace HickoryHollow {

/** Hash of a workspace and of the id that its caller gave the attempt which brought the stream's first event. */
using StreamId = StrongId<struct StreamTag, std::uint64_t>;
/** Hash of a service and of a version of its servers' software. */
using VersionId = StrongId<struct VersionTag, std::uint64_t>;

StreamId streamIdOf(const WorkspaceId&, std::string_view attempt);
VersionId versionIdOf(const ServiceId&, const SoftwareVersion&);

/** A stream and the version that wrote its first event. */
struct StreamOrigin {
    StreamId stream;
    VersionId version;
};

/** Used by one thread. Keeps each origin for at least the retention time, if it holds fewer than the maximum. */
class StreamOrigins {
public:
    struct Options {
        Duration retention = std::chrono::seconds(30); ///< Longer than callers go on trying to receive one answer.
        std::size_t maxStreams = 100'000; ///< The older half is forgotten at this number.
    };

    StreamOrigins()
        : StreamOrigins(Options())
    {
    }
    explicit StreamOrigins(Options options)
        : m_options(options)
    {
    }

    /** A stream that is recorded with two versions counts as unknown. */
    void record(const StreamOrigin&, TimePoint now);
    /** Nothing if the version is not known for certain. */
    std::optional<VersionId> find(StreamId) const;
    /** Returns all streams of known version. */
    std::vector<StreamOrigin> all() const;
    std::size_t size() const { return m_generations[0].size() + m_generations[1].size(); }

private:
    using Generation = std::unordered_map<std::uint64_t, std::optional<VersionId>>; // By stream; empty: several versions.

    Options m_options;
    std::array<Generation, 2> m_generations; // The present one, and the one before it.
    TimePoint m_generationStart {};
};

} // namespace HickoryHollow
