/** \file
 * A caller's HTTP request, parsed and checked against the active settings.
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
    std::shared_ptr<const RoutingSettings> settings; ///< Owns what the pointers below refer to.
    const Workspace* workspace = nullptr;
    const RequestClass* requestClass = nullptr;
    const Service* service = nullptr;
    PoolId pool; ///< Backend servers that can serve the request.
    bool wantsStream = false;
    bool mayRunMoreThanOnce = true; ///< If false, it is retried only with `key` and while no attempt may have run.
    std::optional<IdempotencyKey> key;
    bool isLabelledRepeat = false; ///< `X-Hickory-Attempt` marks the request as a repeat.
    TimePoint arrival {};
    TimePoint deadline {}; ///< The request is neither queued nor retried after it.
    bool hasCallerDeadline = false; ///< The caller gave `deadline`, so that an answer after it is worthless.
    std::uint64_t fingerprint = 0; ///< Hash of workspace, method, target, `key` and body, to recognise repeats.
    PrefixHash prefix; ///< Hash of the start of the prompt; 0 without a prompt.
};

/** Checks API key, class, deadline, idempotency key, path and body. A refusal has the verdict NotRun. */
std::variant<CallerRequest, Refusal> parseCallerRequest(const HttpRequest&, std::shared_ptr<const RoutingSettings>, TimePoint now);

/** Returns the workspace that the `Authorization: Bearer` key belongs to, or null if the key is missing or unknown. */
const Workspace* findWorkspace(const HttpRequest&, const Inventory&);

} // namespace HickoryHollow
