#include "node/NodeSettings.h"

#include "settings/IniDocument.h"
#include "settings/SectionReader.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace HickoryHollow {

namespace {

constexpr double maxMemoryMb = 1e6;
constexpr double maxCallsPerSecond = 1e6;
constexpr NumberRange millisecondsRange { .min = 1, .max = 3'600'000 }; // Up to one hour.

double readNonNegative(SectionReader& reader, std::string_view key, double fallback)
{
    const auto text = reader.optional(key);
    if (text.empty())
        return fallback;
    double value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size() || value < 0)
        reader.addDiagnostic(key, fmt::format("`{}` is not a number of 0 or more", text));
    return value;
}

Duration readSeconds(SectionReader& reader, std::string_view key, Duration fallback)
{
    const auto seconds = readNonNegative(reader, key, std::chrono::duration<double>(fallback).count());
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void readInstance(SectionReader reader, NodeSettings& settings)
{
    settings.instance = InstanceId(reader.required("name"));
    settings.failureDomain = FailureDomainId(reader.required("failure-domain"));
    settings.dataFolder = reader.optional("data-folder");
    reader.rejectUnknownKeys();
}

void readListen(SectionReader reader, NodeSettings& settings)
{
    settings.callerListen = reader.address("callers");
    settings.readyListen = reader.address("ready");
    settings.controlListen = reader.address("control");
    settings.metricsListen = reader.address("metrics");
    reader.required("links");
    settings.linkListen = reader.address("links");
    settings.linkBind = reader.address("links-bind");
    reader.rejectUnknownKeys();
}

void readMembership(SectionReader reader, NodeSettings& settings)
{
    const auto port = reader.number("seed-port", 0, { .min = 1, .max = 65535 });
    for (const auto& it : reader.list("seeds")) {
        if (isAddress(it))
            settings.seeds.emplace_back(fmt::format("{}:{}", it.substr(0, it.rfind(':')), port));
        else
            settings.unusableSeeds.push_back(it);
    }
    if (settings.seeds.empty() && !settings.unusableSeeds.empty())
        reader.addDiagnostic("seeds", fmt::format("`{}` is not `ip:port` with a numeric IP address, and no other seed is", settings.unusableSeeds.front()));
    if (!settings.seeds.empty() && port == 0)
        reader.addDiagnostic("seed-port", "the key is missing");
    settings.isFirstStart = reader.boolean("first-start", false);
    settings.toleratedLosses = static_cast<std::uint32_t>(reader.number("bearable-losses", settings.toleratedLosses, { .min = 0, .max = 100 }));
    reader.rejectUnknownKeys();
}

void readLimits(SectionReader reader, NodeSettings& settings)
{
    constexpr double bytesPerMb = 1e6;
    constexpr double leastMb = 32; // With less, the program itself and one body of the usual limit do not fit.
    const auto mb = readNonNegative(reader, "memory-mb", static_cast<double>(settings.memoryBytes) / bytesPerMb);
    if (mb < leastMb || mb > maxMemoryMb)
        reader.addDiagnostic("memory-mb", fmt::format("{} is not between {} and {} MB", mb, leastMb, maxMemoryMb));
    else
        settings.memoryBytes = static_cast<std::size_t>(mb * bytesPerMb);
    settings.framingBytes = reader.number("framing-bytes", settings.framingBytes, { .min = 64, .max = 1 << 20 });
    settings.links = reader.number("links", settings.links, { .min = 16, .max = 100000 });
    settings.announcedBytes = reader.number("announced-bytes", settings.announcedBytes, { .min = 0, .max = 1 << 30 });
    settings.limitsOverload = reader.boolean("overload-limit", false);
    reader.rejectUnknownKeys();
}

void readBounds(SectionReader reader, NodeBounds& bounds)
{
    bounds.drainTime = readSeconds(reader, "drain-s", bounds.drainTime);
    bounds.keyLease = reader.milliseconds("key-lease-ms", bounds.keyLease, millisecondsRange);
    bounds.configurationDelay = reader.milliseconds("config-apply-ms", bounds.configurationDelay, millisecondsRange);
    bounds.announceInterval = reader.milliseconds("announce-ms", bounds.announceInterval, millisecondsRange);
    bounds.serverDrainTime = reader.milliseconds("server-drain-ms", bounds.serverDrainTime, millisecondsRange);
    bounds.retryRatio = readNonNegative(reader, "retry-ratio", bounds.retryRatio);
    bounds.retrySlack = static_cast<std::uint64_t>(readNonNegative(reader, "retry-slack", static_cast<double>(bounds.retrySlack)));
    bounds.retryWindow = readSeconds(reader, "retry-window-s", bounds.retryWindow);
    bounds.maxRetryAfter = readSeconds(reader, "retry-after-s", bounds.maxRetryAfter);
    reader.rejectUnknownKeys();
}

// The platform names the duties in one list. Duties that this version does not know are left alone.
ProviderSettings readProvider(SectionReader reader)
{
    ProviderSettings provider;
    provider.address = reader.address("address");
    for (const auto& it : reader.list("duties")) {
        provider.reportsUsage |= it == "usage";
        provider.ordersServers |= it == "scaling";
    }
    provider.dutyCallsPerSecond = std::min(readNonNegative(reader, "duty-calls-per-s", provider.dutyCallsPerSecond), readNonNegative(reader, "calls-per-s", maxCallsPerSecond));
    provider.isFenced = reader.boolean("fenced", false);
    provider.lease = reader.milliseconds("lease-ms", provider.lease, millisecondsRange);
    provider.usageWindow = readSeconds(reader, "usage-window-s", provider.usageWindow);
    provider.usageDelay = readSeconds(reader, "usage-delay-s", provider.usageDelay);
    if (provider.usageWindow <= Duration::zero())
        reader.addDiagnostic("usage-window-s", "0 is not a length of windows; it must be positive");
    reader.rejectUnknownKeys();
    return provider;
}

} // namespace

// A version that was accepted after the question is in force everywhere, or the instance refuses requests, when either bound ends.
Duration NodeBounds::routingLease() const
{
    constexpr Duration margin = std::chrono::milliseconds(300); // Covers differing clock rates and the time to send a request.
    const auto bound = std::min(keyLease, configurationDelay);
    return bound - std::min(margin, bound / 4);
}

std::optional<NodeSettings> parseNodeSettings(const std::string& file, std::string_view text, Diagnostics& diagnostics)
{
    const auto diagnosticsBefore = diagnostics.size();
    const auto document = parseIni(file, text, diagnostics);
    NodeSettings settings;
    for (const auto& section : document.sections) {
        const SectionReader reader(document, section, diagnostics);
        if (section.name == "instance")
            readInstance(reader, settings);
        else if (section.name == "listen")
            readListen(reader, settings);
        else if (section.name == "membership")
            readMembership(reader, settings);
        else if (section.name == "limits")
            readLimits(reader, settings);
        else if (section.name == "bounds")
            readBounds(reader, settings.bounds);
        else if (section.name == "provider")
            settings.provider = readProvider(reader);
        else
            diagnostics.push_back({ .file = file, .line = section.line, .section = section.name, .key = {}, .message = "the section is unknown; permitted: instance, listen, membership, limits, bounds, provider" });
    }
    const auto addDiagnostic = [&](std::string section, std::string key, std::string message) {
        diagnostics.push_back({ .file = file, .line = 0, .section = std::move(section), .key = std::move(key), .message = std::move(message) });
    };
    if (settings.instance.value().empty())
        addDiagnostic("instance", "name", "the key is missing");
    if (settings.isEntry() == settings.keepsState())
        addDiagnostic("listen", "callers", "an instance either listens for callers or has a `data-folder` under [instance]");
    if (settings.isEntry() && settings.readyListen.empty())
        addDiagnostic("listen", "ready", "an entry instance needs an address for the balancer's health checks");
    if (settings.keepsState() && settings.controlListen.empty())
        addDiagnostic("listen", "control", "a state instance needs an address for operators and backend servers");
    if (settings.seeds.empty())
        addDiagnostic("membership", "seeds", "at least one seed is needed");
    if (diagnostics.size() != diagnosticsBefore)
        return std::nullopt;
    return settings;
}

} // namespace HickoryHollow
