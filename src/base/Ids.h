/** \file
 * The identifiers that every library shares. Each is opaque text or a number in a type of its own.
 */
#pragma once

#include "base/StrongId.h"

#include <cstdint>

namespace HickoryHollow {

/** Name of one hickoryhollowd process, from its settings. */
using InstanceId = StrongId<struct InstanceTag>;
/** Name of a group of instances that may fail together. */
using FailureDomainId = StrongId<struct FailureDomainTag>;
/** Name of one customer of the router. */
using WorkspaceId = StrongId<struct WorkspaceTag>;
/** Name of a routed service, from the inventory. */
using ServiceId = StrongId<struct ServiceTag>;
/** Name of a model version, from the inventory. */
using ModelId = StrongId<struct ModelTag>;
/** Name of a request class, from the rules. */
using ClassId = StrongId<struct ClassTag>;
/** Address `ip:port` of a backend server. */
using BackendId = StrongId<struct BackendTag>;
/** Number of a request within one process. */
using RequestId = StrongId<struct RequestTag, std::uint64_t>;
/** Idempotency key that a caller chose for one piece of work. */
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;
/** Identifier of a submitted change of settings, chosen by the submitter and kept over its resends. */
using ChangeId = StrongId<struct ChangeTag>;
/** Version of the replicated settings. It only grows. */
using SettingsVersion = StrongId<struct SettingsVersionTag, std::uint64_t>;
/** Name of a route of the routing configuration. */
using RouteId = StrongId<struct RouteTag>;
/** Version of the routing configuration, chosen by its author. The highest is in force. */
using RoutingVersion = StrongId<struct RoutingVersionTag, std::uint64_t>;
/** Start number of a process or backend server; a larger one is a later start. */
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/** Priority of a class: 1 is served first. */
using Tier = StrongId<struct TierTag, std::uint32_t>;

} // namespace HickoryHollow
