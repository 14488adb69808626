#include "settings/Rules.h"

#include "settings/IniDocument.h"
#include "settings/SectionReader.h"

#include <fmt/format.h>

namespace HickoryHollow {

namespace {

constexpr std::string_view classPrefix = "class ";
constexpr std::uint32_t maxTier = 7;
constexpr NumberRange targetRangeMs { .least = 1, .most = 3'600'000 };
constexpr NumberRange percentRange { .least = 0, .most = 100 };

void readClass(SectionReader reader, const std::string& name, Rules& rules)
{
    RequestClass requestClass;
    requestClass.id = ClassId(name);
    reader.required("tier");
    requestClass.tier = Tier(static_cast<std::uint32_t>(reader.number("tier", 1, { .least = 1, .most = maxTier })));
    requestClass.firstToken = reader.milliseconds("first-token-ms", std::chrono::milliseconds(440), targetRangeMs);
    requestClass.betweenTokens = reader.milliseconds("between-tokens-ms", std::chrono::milliseconds(72), targetRangeMs);
    requestClass.wholeAnswer = reader.milliseconds("whole-answer-ms", std::chrono::seconds(60), targetRangeMs);
    requestClass.isProtected = reader.boolean("protected", false);
    requestClass.isLong = reader.choice("length", { "short", "long" }) == "long";
    requestClass.retryPercent = static_cast<std::uint32_t>(reader.number("retry-percent", 10, percentRange));
    if (requestClass.isProtected && requestClass.isLong)
        reader.complain("protected", "a class of length `long` cannot be protected; give it a tier of its own");
    reader.rejectUnknownKeys();
    rules.classes.emplace(requestClass.id, std::move(requestClass));
}

void readOnceOnly(SectionReader reader, Rules& rules)
{
    for (const auto& it : reader.list("services"))
        rules.onceOnly.emplace(it);
    reader.rejectUnknownKeys();
}

void readQueue(SectionReader reader, Rules& rules)
{
    rules.queueRequests = static_cast<std::uint32_t>(reader.number("requests", rules.queueRequests, { .least = 1, .most = 1'000'000 }));
    rules.queueBytes = reader.number("bytes", rules.queueBytes, { .least = 1, .most = 1ULL << 40U });
    rules.shortReservePercent = static_cast<std::uint32_t>(reader.number("short-reserve-percent", rules.shortReservePercent, { .least = 0, .most = 90 }));
    rules.floorPercent = static_cast<std::uint32_t>(reader.number("floor-percent", rules.floorPercent, { .least = 1, .most = 50 }));
    reader.rejectUnknownKeys();
}

} // namespace

std::optional<Rules> parseRules(const std::string& file, std::string_view text, Complaints& complaints)
{
    const auto previousCount = complaints.size();
    const auto document = parseIni(file, text, complaints);
    Rules rules;
    for (const auto& section : document.sections) {
        const SectionReader reader(document, section, complaints);
        if (section.name.starts_with(classPrefix))
            readClass(reader, section.name.substr(classPrefix.size()), rules);
        else if (section.name == "once-only")
            readOnceOnly(reader, rules);
        else if (section.name == "queue")
            readQueue(reader, rules);
        else
            complaints.push_back({ .file = file, .line = section.line, .section = section.name, .key = {}, .message = "the section is unknown; permitted: class NAME, once-only, queue" });
    }
    if (rules.classes.empty())
        complaints.push_back({ .file = file, .line = 0, .section = {}, .key = {}, .message = "at least one [class NAME] section is required" });
    if (complaints.size() != previousCount)
        return std::nullopt;
    return rules;
}

} // namespace HickoryHollow
