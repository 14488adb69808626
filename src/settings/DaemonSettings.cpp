#include "settings/DaemonSettings.h"

#include "settings/IniDocument.h"
#include "settings/SectionReader.h"

#include <algorithm>
#include <fmt/format.h>

namespace HickoryHollow {

namespace {

constexpr NumberRange timeoutRangeMs { .min = 10, .max = 3'600'000 };
constexpr std::string_view peerPrefix = "peer ";

void readInstance(SectionReader reader, DaemonSettings& settings)
{
    settings.instance = InstanceId(reader.required("name"));
    settings.failureDomain = FailureDomainId(reader.required("failure-domain"));
    settings.threads = static_cast<unsigned>(reader.number("threads", settings.threads, { .min = 1, .max = 256 }));
    settings.dataFolder = reader.optional("data-folder");
    settings.inventoryFile = reader.optional("inventory");
    settings.rulesFile = reader.optional("rules");
    reader.rejectUnknownKeys();
}

void readListen(SectionReader reader, DaemonSettings& settings)
{
    for (const auto* key : { "callers", "backends", "operators" })
        reader.required(key);
    settings.callerListen = reader.address("callers");
    settings.backendListen = reader.address("backends");
    settings.operatorListen = reader.address("operators");
    settings.peerListen = reader.address("peers");
    reader.rejectUnknownKeys();
}

std::string readDigest(SectionReader& reader, std::string_view key)
{
    constexpr std::size_t sha256HexDigits = 64;
    auto value = reader.optional(key);
    const auto isHex = value.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!value.empty() && (value.size() != sha256HexDigits || !isHex))
        reader.addDiagnostic(key, "the value is not a SHA-256 digest of 64 lower-case hexadecimal digits");
    return value;
}

void readKeys(SectionReader reader, DaemonSettings& settings)
{
    reader.required("operator-sha256");
    settings.operatorKeySha256 = readDigest(reader, "operator-sha256");
    settings.backendKeySha256 = readDigest(reader, "backend-sha256");
    settings.peerKey = reader.optional("peer");
    reader.rejectUnknownKeys();
}

void readLimits(SectionReader reader, DaemonSettings& settings)
{
    settings.maxHeaderBytes = reader.number("header-bytes", settings.maxHeaderBytes, { .min = 1024, .max = 1 << 20 });
    settings.maxBodyBytes = reader.number("body-bytes", settings.maxBodyBytes, { .min = 1024, .max = 1 << 30 });
    settings.maxConnections = reader.number("connections", settings.maxConnections, { .min = 1, .max = 1'000'000 });
    settings.memoryMb = reader.number("memory-mb", settings.memoryMb, { .min = 64, .max = 1'000'000 });
    settings.idleTimeout = reader.milliseconds("idle-ms", settings.idleTimeout, timeoutRangeMs);
    settings.slowReaderTimeout = reader.milliseconds("slow-reader-ms", settings.slowReaderTimeout, timeoutRangeMs);
    settings.drainTimeout = reader.milliseconds("drain-ms", settings.drainTimeout, timeoutRangeMs);
    reader.rejectUnknownKeys();
}

void readPeer(SectionReader reader, const std::string& name, DaemonSettings& settings)
{
    PeerSettings peer { .instance = InstanceId(name), .failureDomain = {}, .address = {}, .keepsState = false };
    peer.failureDomain = FailureDomainId(reader.required("failure-domain"));
    reader.required("address");
    peer.address = reader.address("address");
    peer.keepsState = reader.boolean("keeps-state", false);
    reader.rejectUnknownKeys();
    settings.peers.push_back(std::move(peer));
}

void readExperiment(SectionReader reader, ExperimentSettings& experiment)
{
    experiment.choice = reader.choice("choice", { "estimated", "round-robin", "least-outstanding", "two-random" });
    experiment.tiers = reader.boolean("tiers", true);
    experiment.shortReserve = reader.boolean("short-reserve", true);
    experiment.earlyRefusal = reader.boolean("early-refusal", true);
    experiment.stragglers = reader.boolean("stragglers", true);
    experiment.repeatsYield = reader.boolean("repeats-yield", true);
    experiment.peerPressure = reader.boolean("peer-pressure", true);
    reader.rejectUnknownKeys();
}

void requireSections(const IniDocument& document, Diagnostics& diagnostics)
{
    for (const auto* name : { "instance", "listen", "keys" }) {
        const auto found = std::any_of(document.sections.begin(), document.sections.end(), [name](const auto& it) { return it.name == name; });
        if (!found)
            diagnostics.push_back({ .file = document.file, .line = 0, .section = name, .key = {}, .message = "the section is missing" });
    }
}

void checkConsistency(const DaemonSettings& settings, const std::string& file, Diagnostics& diagnostics)
{
    const auto addDiagnostic = [&](std::string section, std::string key, std::string message) {
        diagnostics.push_back({ .file = file, .line = 0, .section = std::move(section), .key = std::move(key), .message = std::move(message) });
    };
    if (!settings.peers.empty() && settings.peerListen.empty())
        addDiagnostic("listen", "peers", "the key is required because there are [peer NAME] sections");
    if (!settings.peers.empty() && settings.peerKey.empty())
        addDiagnostic("keys", "peer", "the key is required because there are [peer NAME] sections");
    if (settings.inventoryFile.empty() != settings.rulesFile.empty())
        addDiagnostic("instance", "rules", "`inventory` and `rules` must both be set or both be absent");
    const auto isReplicated = settings.keepsState() || std::any_of(settings.peers.begin(), settings.peers.end(), [](const auto& it) { return it.keepsState; });
    if (isReplicated && !settings.inventoryFile.empty())
        addDiagnostic("instance", "inventory", "inventory and rules are replicated because an instance keeps state; remove the key and submit them with hickoryctl");
    if (!isReplicated && settings.inventoryFile.empty())
        addDiagnostic("instance", "data-folder", "no instance keeps state and no `inventory` file is set; set one of them");
}

} // namespace

std::optional<DaemonSettings> parseDaemonSettings(const std::string& file, std::string_view text, Diagnostics& diagnostics)
{
    const auto previousCount = diagnostics.size();
    const auto document = parseIni(file, text, diagnostics);
    DaemonSettings settings;
    requireSections(document, diagnostics);
    for (const auto& section : document.sections) {
        const SectionReader reader(document, section, diagnostics);
        if (section.name == "instance")
            readInstance(reader, settings);
        else if (section.name == "listen")
            readListen(reader, settings);
        else if (section.name == "keys")
            readKeys(reader, settings);
        else if (section.name == "limits")
            readLimits(reader, settings);
        else if (section.name == "experiment")
            readExperiment(reader, settings.experiment);
        else if (section.name.starts_with(peerPrefix))
            readPeer(reader, section.name.substr(peerPrefix.size()), settings);
        else
            diagnostics.push_back({ .file = file, .line = section.line, .section = section.name, .key = {}, .message = "the section is unknown; permitted: instance, listen, keys, limits, experiment, peer NAME" });
    }
    checkConsistency(settings, file, diagnostics);
    if (diagnostics.size() != previousCount)
        return std::nullopt;
    return settings;
}

} // namespace HickoryHollow
