/** \file
 * Inventory and rules that are checked against each other and carry one version, as they are active on an instance.
 */
#pragma once

#include "base/Ids.h"
#include "settings/Inventory.h"
#include "settings/Rules.h"

#include <memory>
#include <string>

namespace HickoryHollow {

/** The two INI texts as they are submitted, replicated and stored. */
struct SettingsText {
    std::string inventory;
    std::string rules;

    bool operator==(const SettingsText&) const = default;
};

struct RoutingSettings {
    SettingsVersion version;
    SettingsText text; ///< Source of `inventory` and `rules`.
    Inventory inventory;
    Rules rules;
};

/**
 * Parses both texts and checks that workspaces name only classes of the rules and the rules only services of the inventory.
 * Returns null and adds at least one diagnostic if a check fails.
 */
std::shared_ptr<const RoutingSettings> parseRoutingSettings(const SettingsText&, SettingsVersion, Diagnostics&);

} // namespace HickoryHollow
