/** \file
 * Inventory and rules that were checked together, at one version: what is in force on an instance.
 */
#pragma once

#include "base/Ids.h"
#include "settings/Inventory.h"
#include "settings/Rules.h"

#include <memory>
#include <string>

namespace HickoryHollow {

/** The two INI texts as they are submitted, replicated and kept. */
struct SettingsText {
    std::string inventory;
    std::string rules;

    bool operator==(const SettingsText&) const = default;
};

struct RoutingSettings {
    SettingsVersion version;
    SettingsText text; ///< What the rest was parsed from.
    Inventory inventory;
    Rules rules;
};

/** Parses both texts and checks that each names only what the other knows; null after a complaint. */
std::shared_ptr<const RoutingSettings> parseRoutingSettings(const SettingsText&, SettingsVersion, Complaints&);

} // namespace HickoryHollow
