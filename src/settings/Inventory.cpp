#include "settings/Inventory.h"

#include "settings/IniDocument.h"
#include "settings/SectionReader.h"

#include <fmt/format.h>

namespace HickoryHollow {

namespace {

constexpr std::string_view servicePrefix = "service ";
constexpr std::string_view workspacePrefix = "workspace ";
constexpr std::size_t sha256HexDigits = 64;
constexpr NumberRange workspaceLimitRange { .min = 0, .max = 1'000'000 };

void readModels(SectionReader& reader, Service& service, Inventory& inventory)
{
    for (const auto& name : reader.list("models")) {
        const ModelId model(name);
        service.models.push_back(model);
        if (!inventory.serviceOfModel.emplace(model, service.id).second)
            reader.addDiagnostic("models", fmt::format("model `{}` is listed by more than one service", name));
    }
    if (service.models.empty())
        reader.addDiagnostic("models", "a service of kind `model` needs at least one model");
}

void readService(SectionReader reader, const std::string& name, Inventory& inventory)
{
    Service service { .id = ServiceId(name), .kind = ServiceKind::Model, .pathPrefix = {}, .models = {} };
    if (reader.choice("kind", { "model", "plain" }) == "plain") {
        service.kind = ServiceKind::Plain;
        service.pathPrefix = reader.required("path");
        if (!service.pathPrefix.empty() && (service.pathPrefix.front() != '/' || service.pathPrefix.starts_with("/v1/")))
            reader.addDiagnostic("path", fmt::format("`{}` must start with a slash and must not be under /v1/", service.pathPrefix));
    } else {
        readModels(reader, service, inventory);
    }
    reader.rejectUnknownKeys();
    inventory.services.emplace(service.id, std::move(service));
}

void readWorkspace(SectionReader reader, const std::string& name, Inventory& inventory)
{
    Workspace workspace { .id = WorkspaceId(name), .keySha256 = reader.required("key-sha256"), .classes = {}, .maxConcurrent = 0, .requestsPerSecond = 0 };
    if (workspace.keySha256.size() != sha256HexDigits)
        reader.addDiagnostic("key-sha256", "the value is not a SHA-256 digest of 64 hexadecimal digits");
    for (const auto& it : reader.list("classes"))
        workspace.classes.emplace_back(it);
    if (workspace.classes.empty())
        reader.addDiagnostic("classes", "a workspace needs at least one class; the first is its default");
    workspace.maxConcurrent = static_cast<std::uint32_t>(reader.number("max-concurrent", 0, workspaceLimitRange));
    workspace.requestsPerSecond = static_cast<std::uint32_t>(reader.number("requests-per-second", 0, workspaceLimitRange));
    reader.rejectUnknownKeys();
    const auto digest = workspace.keySha256;
    if (!inventory.workspaceByKeyDigest.emplace(digest, std::move(workspace)).second)
        reader.addDiagnostic("key-sha256", "another workspace has the same key");
}

} // namespace

std::optional<Inventory> parseInventory(const std::string& file, std::string_view text, Diagnostics& diagnostics)
{
    const auto previousCount = diagnostics.size();
    const auto document = parseIni(file, text, diagnostics);
    Inventory inventory;
    for (const auto& section : document.sections) {
        const SectionReader reader(document, section, diagnostics);
        if (section.name.starts_with(servicePrefix))
            readService(reader, section.name.substr(servicePrefix.size()), inventory);
        else if (section.name.starts_with(workspacePrefix))
            readWorkspace(reader, section.name.substr(workspacePrefix.size()), inventory);
        else
            diagnostics.push_back({ .file = file, .line = section.line, .section = section.name, .key = {}, .message = "the section is unknown; permitted: service NAME, workspace NAME" });
    }
    if (inventory.services.empty())
        diagnostics.push_back({ .file = file, .line = 0, .section = {}, .key = {}, .message = "at least one [service NAME] section is required" });
    if (diagnostics.size() != previousCount)
        return std::nullopt;
    return inventory;
}

} // namespace HickoryHollow
