/** \file
 * What every exchange of an entry instance works with. One event loop uses it.
 */
#pragma once

#include "base/Time.h"
#include "metrics/Metrics.h"
#include "net/Task.h"
#include "placement/RetryWindow.h"

#include <cstdint>
#include <map>
#include <optional>

namespace HickoryHollow {

class AdmissionDesk;
class BackendSelector;
class RandomSource;
class RequestCodec;
class ActiveRouting;
class UpstreamClient;

struct ForwardingContext {
    asio::io_context& loop;
    const RequestCodec& codec;
    const ActiveRouting& routing;
    BackendSelector& board;
    AdmissionDesk& desk;
    UpstreamClient& upstream;
    RandomSource& random;
    Metrics& metrics;
    RetryWindow::Options retries;
    std::map<ServiceId, RetryWindow> retryWindows = {}; ///< One a service.
    std::uint32_t entryInstances = 1; ///< As the state instances counted them last; they share the budget of repeats.
    TimePoint startedAt = monotonicNow();
    std::optional<TimePoint> drainEnd = {}; ///< When the process ends; set by a drain.
    Duration longestRetryAfter = std::chrono::seconds(8);
};

} // namespace HickoryHollow
