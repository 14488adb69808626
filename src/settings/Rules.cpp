#include "settings/Rules.h"

#include "settings/IniDocument.h"
#include "settings/SectionReader.h"

#include <fmt/format.h>

namespace HickoryHollow {

namespace {

constexpr std::string_view classPrefix = "class ";
constexpr std::uint32_t maxTier = 7;
constexpr NumberRange targetRangeMs { .min = 1, .max = 3'600'000 };
constexpr NumberRange percentRange { .min = 0, .max = 100 };

void readClass(SectionReader reader, const std::string& name, Rules& rules)
{
    RequestClass requestClass;
    requestClass.id = ClassId(name);
    reader.required("tier");
    requestClass.tier = Tier(static_cast<std::uint32_t>(reader.number("tier", 1, { .min = 1, .max = maxTier })));
    requestClass.firstTokenTarget = reader.milliseconds("first-token-ms", std::chrono::milliseconds(440), targetRangeMs);
    requestClass.interTokenTarget = reader.milliseconds("between-tokens-ms", std::chrono::milliseconds(72), targetRangeMs);
    requestClass.wholeAnswerTarget = reader.milliseconds("whole-answer-ms", std::chrono::seconds(60), targetRangeMs);
    requestClass.isProtected = reader.boolean("protected", false);
    requestClass.isLong = reader.choice("length", { "short", "long" }) == "long";
    requestClass.retryPercent = static_cast<std::uint32_t>(reader.number("retry-percent", 10, percentRange));
    if (requestClass.isProtected && requestClass.isLong)
        reader.addDiagnostic("protected", "a class of length `long` cannot be protected; give it a tier of its own");
    reader.rejectUnknownKeys();
    rules.classes.emplace(requestClass.id, std::move(requestClass));
}

void readOnceOnly(SectionReader reader, Rules& rules)
{
    for (const auto& it : reader.list("services"))
        rules.atMostOnceServices.emplace(it);
    reader.rejectUnknownKeys();
}

void readQueue(SectionReader reader, Rules& rules)
{
    rules.maxQueuedRequests = static_cast<std::uint32_t>(reader.number("requests", rules.maxQueuedRequests, { .min = 1, .max = 1'000'000 }));
    rules.maxQueuedBytes = reader.number("bytes", rules.maxQueuedBytes, { .min = 1, .max = 1ULL << 40U });
    rules.shortReservePercent = static_cast<std::uint32_t>(reader.number("short-reserve-percent", rules.shortReservePercent, { .min = 0, .max = 90 }));
    rules.floorPercent = static_cast<std::uint32_t>(reader.number("floor-percent", rules.floorPercent, { .min = 1, .max = 50 }));
    reader.rejectUnknownKeys();
}

} // namespace

std::optional<Rules> parseRules(const std::string& file, std::string_view text, Diagnostics& diagnostics)
{
    const auto previousCount = diagnostics.size();
    const auto document = parseIni(file, text, diagnostics);
    Rules rules;
    for (const auto& section : document.sections) {
        const SectionReader reader(document, section, diagnostics);
        if (section.name.starts_with(classPrefix))
            readClass(reader, section.name.substr(classPrefix.size()), rules);
        else if (section.name == "once-only")
            readOnceOnly(reader, rules);
        else if (section.name == "queue")
            readQueue(reader, rules);
        else
            diagnostics.push_back({ .file = file, .line = section.line, .section = section.name, .key = {}, .message = "the section is unknown; permitted: class NAME, once-only, queue" });
    }
    if (rules.classes.empty())
        diagnostics.push_back({ .file = file, .line = 0, .section = {}, .key = {}, .message = "at least one [class NAME] section is required" });
    if (diagnostics.size() != previousCount)
        return std::nullopt;
    return rules;
}

} // namespace HickoryHollow
