/** \file
 * The identifiers that all libraries share. Each is opaque text or a number, wrapped in its own type.
 */
#pragma once

#include "base/StrongId.h"

#include <cstdint>

namespace HickoryHollow {

/** Name of one hickoryhollowd process, from its settings. */
using InstanceId = StrongId<struct InstanceTag>;
/** Name of a group of instances that may fail together, such as a zone. */
using FailureDomainId = StrongId<struct FailureDomainTag>;
/** Name of one customer of the router. */
using WorkspaceId = StrongId<struct WorkspaceTag>;
/** Name of a routed service, from the inventory. */
using ServiceId = StrongId<struct ServiceTag>;
/** Name of a model version, from the inventory. */
using ModelId = StrongId<struct ModelTag>;
/** Name of a version of a backend server's software. Versions have no order; what two of them write does not fit together. */
using SoftwareVersion = StrongId<struct SoftwareVersionTag>;
/** Name of a request class, from the rules. */
using ClassId = StrongId<struct ClassTag>;
/** Address `ip:port` of a backend server. */
using BackendId = StrongId<struct BackendTag>;
/** Number of a request within one process. */
using RequestId = StrongId<struct RequestTag, std::uint64_t>;
/** Idempotency key that a caller set for one request; the caller repeats the request under the same key. */
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;
/** Identifier of a submitted settings change. The submitter sets it and uses it again when it resends the change. */
using ChangeId = StrongId<struct ChangeTag>;
/** Version of the replicated settings; it increases with every accepted change. */
using SettingsVersion = StrongId<struct SettingsVersionTag, std::uint64_t>;
/** Name of a route of the routing configuration. */
using RouteId = StrongId<struct RouteTag>;
/** Version of the routing configuration, set by its author. The highest version is the active one. */
using RoutingVersion = StrongId<struct RoutingVersionTag, std::uint64_t>;
/** Identifies one start of a process or backend server; a later start has a larger number. */
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/** Number of a span of time for which usage is reported; window k begins k window lengths after the start of 1970. */
using UsageWindow = StrongId<struct UsageWindowTag, std::uint64_t>;
/** Number that accompanies calls of a holder of singleton duties; a later holder has a larger one. */
using FencingToken = StrongId<struct FencingTokenTag, std::uint64_t>;
/** Priority of a class: 1 is served first. */
using Tier = StrongId<struct TierTag, std::uint32_t>;

} // namespace HickoryHollow
