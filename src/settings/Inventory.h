/** \file
 * The operator's inventory: services, the models that they serve, and workspaces with their keys and limits.
 */
#pragma once

#include "base/Ids.h"
#include "settings/Diagnostic.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace HickoryHollow {

enum class ServiceKind {
    Model, ///< Completion requests to a language model, routed by model name.
    Plain, ///< Any HTTP service, routed by path prefix.
};

struct Service {
    ServiceId id;
    ServiceKind kind = ServiceKind::Model;
    std::string pathPrefix; ///< Only for ServiceKind::Plain; starts with a slash.
    std::vector<ModelId> models; ///< Only for ServiceKind::Model; not empty.
};

struct Workspace {
    WorkspaceId id;
    std::string keySha256; ///< Hexadecimal SHA-256 digest of the bearer key.
    std::vector<ClassId> classes; ///< Classes that its requests may name; the first is the default. Not empty.
    std::uint32_t maxConcurrent = 0; ///< Limit of queued and running requests on one instance; 0 means no limit.
    std::uint32_t requestsPerSecond = 0; ///< Limit on one instance; 0 means no limit.
};

struct Inventory {
    std::map<ServiceId, Service> services;
    std::map<ModelId, ServiceId> serviceOfModel;
    std::map<std::string, Workspace, std::less<>> workspaceByKeyDigest; ///< The map's key is Workspace::keySha256.
};

/** Parses and checks an inventory. Returns nothing and adds at least one diagnostic if it is invalid. */
std::optional<Inventory> parseInventory(const std::string& file, std::string_view text, Diagnostics&);

} // namespace HickoryHollow
