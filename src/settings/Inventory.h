/** \file
 * The operator's asset register: services, model versions and workspaces.
 */
#pragma once

#include "base/Ids.h"
#include "settings/Complaint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace HickoryHollow {

enum class ServiceKind {
    Model, ///< Completion calls of a language model.
    Plain, ///< Any HTTP service, routed by path prefix.
};

struct Service {
    ServiceId id;
    ServiceKind kind = ServiceKind::Model;
    std::string pathPrefix; ///< For plain services; starts with a slash.
    std::vector<ModelId> models; ///< For model services.
};

struct Workspace {
    WorkspaceId id;
    std::string keySha256; ///< Digest of the bearer key.
    std::vector<ClassId> classes; ///< The first is the default class.
    std::uint32_t maxConcurrent = 0; ///< Requests queued or running at one instance; 0 is no limit.
    std::uint32_t requestsPerSecond = 0; ///< At one instance; 0 is no limit.
};

struct Inventory {
    std::map<ServiceId, Service> services;
    std::map<ModelId, ServiceId> serviceOfModel;
    std::map<std::string, Workspace, std::less<>> workspaceOfKey; ///< By digest of the bearer key.
};

/** Reads an inventory; returns nothing and at least one complaint when it is not whole. */
std::optional<Inventory> parseInventory(const std::string& file, std::string_view text, Complaints&);

} // namespace HickoryHollow
