/** \file
 * A caller's HTTP request understood against the settings in force.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "http/Refusal.h"
#include "scheduling/Job.h"
#include "settings/RoutingSettings.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace HickoryHollow {

struct HttpRequest;

struct CallerRequest {
    std::shared_ptr<const RoutingSettings> settings; ///< Keeps the pointers below valid.
    const Workspace* workspace = nullptr;
    const RequestClass* requestClass = nullptr;
    const Service* service = nullptr;
    PoolId pool;
    bool wantsStream = false;
    bool mayRepeat = true; ///< False for work that must run at most once.
    std::optional<IdempotencyKey> key;
    bool saysRepeat = false; ///< The caller labelled it as a repeated attempt.
    TimePoint arrival {};
    TimePoint deadline {};
    bool hasCallerDeadline = false;
    std::uint64_t fingerprint = 0; ///< Equal for equal requests of one workspace.
    PrefixHash prefix;
};

/** Checks key, path, class, deadline and body. Everything it refuses has not run. */
std::variant<CallerRequest, Refusal> parseCallerRequest(const HttpRequest&, std::shared_ptr<const RoutingSettings>, TimePoint now);

/** Finds the workspace of the `Authorization: Bearer` key; null where there is none. */
const Workspace* findWorkspace(const HttpRequest&, const Inventory&);

} // namespace HickoryHollow
