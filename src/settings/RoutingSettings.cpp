#include "settings/RoutingSettings.h"

#include <fmt/format.h>

namespace HickoryHollow {

namespace {

void checkWorkspaceClasses(const RoutingSettings& settings, Complaints& complaints)
{
    for (const auto& [digest, workspace] : settings.inventory.workspaceOfKey) {
        for (const auto& it : workspace.classes) {
            if (!settings.rules.find(it))
                complaints.push_back({ .file = "inventory", .line = 0, .section = fmt::format("workspace {}", workspace.id.value()), .key = "classes", .message = fmt::format("class `{}` is not in the rules", it.value()) });
        }
    }
}

void checkOnceOnlyServices(const RoutingSettings& settings, Complaints& complaints)
{
    for (const auto& it : settings.rules.onceOnly) {
        if (!settings.inventory.services.contains(it))
            complaints.push_back({ .file = "rules", .line = 0, .section = "once-only", .key = "services", .message = fmt::format("service `{}` is not in the inventory", it.value()) });
    }
}

} // namespace

std::shared_ptr<const RoutingSettings> parseRoutingSettings(const SettingsText& text, SettingsVersion version, Complaints& complaints)
{
    const auto previousCount = complaints.size();
    auto inventory = parseInventory("inventory", text.inventory, complaints);
    auto rules = parseRules("rules", text.rules, complaints);
    if (!inventory || !rules)
        return nullptr;
    auto settings = std::make_shared<RoutingSettings>(RoutingSettings { .version = version, .text = text, .inventory = std::move(*inventory), .rules = std::move(*rules) });
    checkWorkspaceClasses(*settings, complaints);
    checkOnceOnlyServices(*settings, complaints);
    return complaints.size() == previousCount ? settings : nullptr;
}

} // namespace HickoryHollow
