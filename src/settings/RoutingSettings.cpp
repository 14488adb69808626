#include "settings/RoutingSettings.h"

#include <fmt/format.h>

namespace HickoryHollow {

namespace {

void checkWorkspaceClasses(const RoutingSettings& settings, Diagnostics& diagnostics)
{
    for (const auto& [digest, workspace] : settings.inventory.workspaceByKeyDigest) {
        for (const auto& it : workspace.classes) {
            if (!settings.rules.find(it))
                diagnostics.push_back({ .file = "inventory", .line = 0, .section = fmt::format("workspace {}", workspace.id.value()), .key = "classes", .message = fmt::format("class `{}` is not in the rules", it.value()) });
        }
    }
}

void checkOnceOnlyServices(const RoutingSettings& settings, Diagnostics& diagnostics)
{
    for (const auto& it : settings.rules.atMostOnceServices) {
        if (!settings.inventory.services.contains(it))
            diagnostics.push_back({ .file = "rules", .line = 0, .section = "once-only", .key = "services", .message = fmt::format("service `{}` is not in the inventory", it.value()) });
    }
}

} // namespace

std::shared_ptr<const RoutingSettings> parseRoutingSettings(const SettingsText& text, SettingsVersion version, Diagnostics& diagnostics)
{
    const auto previousCount = diagnostics.size();
    auto inventory = parseInventory("inventory", text.inventory, diagnostics);
    auto rules = parseRules("rules", text.rules, diagnostics);
    if (!inventory || !rules)
        return nullptr;
    auto settings = std::make_shared<RoutingSettings>(RoutingSettings { .version = version, .text = text, .inventory = std::move(*inventory), .rules = std::move(*rules) });
    checkWorkspaceClasses(*settings, diagnostics);
    checkOnceOnlyServices(*settings, diagnostics);
    return diagnostics.size() == previousCount ? settings : nullptr;
}

} // namespace HickoryHollow
