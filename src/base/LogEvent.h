/** \file
 * Numbered log events. A number never changes its meaning and is never reused; docs/events.md is the catalogue.
 */
#pragma once

#include <fmt/format.h>
#include <string_view>
#include <utility>

namespace HickoryHollow {

enum class LogEvent {
    DaemonStarted = 1001,
    DaemonStopped = 1002,
    DrainStarted = 1003,
    DrainFinished = 1004,
    DrainCut = 1005,
    SettingsInvalid = 1006,
    SettingsReloaded = 1007,
    LogLinesDropped = 1008,
    ReadinessChanged = 1009,
    RequestRefused = 2001,
    RequestRetried = 2002,
    AnswerBroken = 2003,
    RoutedEnd = 2101,
    RoutedRetry = 2102,
    RoutedBroken = 2103,
    BodyRefused = 2104,
    ConnectionCut = 2105,
    RelayFailed = 2106,
    StreamAttempts = 2107,
    FramingRefused = 2110,
    ConnectionsExceeded = 2111,
    FrameRefused = 2112,
    AnnouncementRefused = 2113,
    OverloadRefused = 2301,
    BackendJoined = 3001,
    BackendLeaving = 3002,
    BackendLapsed = 3003,
    AnnouncementRejected = 3004,
    BackendEjected = 3005,
    BackendRestored = 3006,
    BackendChanged = 3007,
    AnnouncementIgnored = 3008,
    BackendOutlier = 3009,
    PromptQuarantined = 3010,
    PromptReleased = 3011,
    BackendWithdrew = 3012,
    BackendLimited = 3013,
    ServiceOutOfReach = 3014,
    ServiceInReach = 3015,
    BackendRejectionLimited = 3016,
    LeaderElected = 4001,
    LeaderLost = 4002,
    SettingsApplied = 4003,
    SettingsLeaseLost = 4004,
    SettingsLeaseGained = 4005,
    ReplicaRejected = 4006,
    MembersChanged = 4007,
    VoterLeft = 4008,
    RoutingCommitted = 4101,
    RoutingAcknowledged = 4102,
    RoutingUnconfirmed = 4103,
    RoutingRejected = 4104,
    RoutingApplied = 4105,
    RoutingUnreadable = 4106,
    RoutingDeltaUnusable = 4107,
    StorageFailed = 5001,
    StorageTailCut = 5002,
    StorageDamaged = 5003,
    StorageRegained = 5004,
    PeerConnected = 6001,
    PeerLost = 6002,
    PeerRejected = 6003,
    DutiesTaken = 7101,
    DutiesLost = 7102,
    DutySuperseded = 7103,
    UsageFixed = 7104,
    UsageSent = 7105,
    UsageOverdue = 7106,
    ServersOrdered = 7201,
};

/** Writes one line `event=<number> <text>` at information level. */
void writeLog(LogEvent, std::string_view text);

/** Formats and writes one event. Never pass an API key or a request body: log lines are not confidential. */
template <typename... Args>
void logEvent(LogEvent event, fmt::format_string<Args...> format, Args&&... args)
{
    writeLog(event, fmt::format(format, std::forward<Args>(args)...));
}

} // namespace HickoryHollow
