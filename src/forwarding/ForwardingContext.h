/** \file
 * Objects, settings and state that all exchanges of one entry instance share. Used from one event loop only.
 */
#pragma once

#include "base/Ids.h"
#include "base/LoopLag.h"
#include "base/Time.h"
#include "forwarding/DrainPolicy.h"
#include "forwarding/RouteDurations.h"
#include "http/BufferBudget.h"
#include "metrics/Metrics.h"
#include "net/Interrupts.h"
#include "net/Task.h"
#include "placement/RetryWindow.h"

#include <cstdint>
#include <map>

namespace HickoryHollow {

class AsyncAdmissionQueue;
class BackendSelector;
class DemandMeter;
class PromptGuard;
class RelayPeers;
class RandomSource;
class RequestCodec;
class StartCounter;
class StreamOriginSource;
class ActiveRouting;
class UpstreamClient;

/** The referenced objects outlive the context. */
struct ForwardingContext {
    asio::io_context& loop;
    const RequestCodec& codec;
    const ActiveRouting& routing;
    BackendSelector& selector;
    PromptGuard& promptGuard;
    AsyncAdmissionQueue& admissionQueue;
    StreamOriginSource& streamOrigins;
    UpstreamClient& upstream;
    RelayPeers& relayPeers;
    RandomSource& random;
    Metrics& metrics;
    RetryWindow::Options retryOptions; ///< Retry budget of each service.
    std::map<ServiceId, RetryWindow> retryWindows = {}; ///< Created with `retryOptions` at the first request for a service.
    std::uint32_t entryInstances = 1; ///< Entry instances that share the retry budget; last count from the state instances.
    TimePoint startedAt = monotonicNow(); ///< Start of this process.
    DrainPolicy drain = {}; ///< Decides which requests are still started while the process stops.
    RouteDurations durations = {}; ///< Of the requests that were sent to a server.
    Interrupts interrupts = {}; ///< Gives up the exchanges in progress at the end of a drain.
    BufferBudget answerBytes = BufferBudget(); ///< Bytes of answers that are held until they are complete.
    LoopLag loopLag = {}; ///< Of `loop`.
    TimePoint configuredAt = monotonicNow(); ///< Time at which the configuration in force was taken in.
    InstanceId instance = {}; ///< Name of this instance.
    Duration maxRetryAfter = std::chrono::seconds(8); ///< Upper limit of the retry-after time sent to shed requests.
    StartCounter* starts = nullptr; ///< Null if the provider gets no usage reports.
    DemandMeter* demand = nullptr; ///< Null if no servers are ordered from the provider.
    bool limitsOverload = false; ///< Learn how long requests take at engines, and refuse early those that would not end in time.
    Duration serverDrainTime = std::chrono::seconds(2); ///< A server serves for so long after it has announced that it leaves.
    Duration minSilence = std::chrono::milliseconds(1200); ///< A paused or slowed server can be silent this long.
    /** Longer than another instance that relays a request waits for a silent server before it tries a further one. */
    Duration minPeerSilence = std::chrono::milliseconds(2500);
};

} // namespace HickoryHollow
