#include "settings/SectionReader.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace HickoryHollow {

namespace {

bool parseNumber(std::string_view text, std::uint64_t& value)
{
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    return result.ec == std::errc() && result.ptr == end;
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    const auto last = text.find_last_not_of(" \t");
    return text.substr(first, last - first + 1);
}

} // namespace

bool isAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code ec;
    boost::asio::ip::make_address(std::string(host), ec);
    std::uint64_t port = 0;
    return !ec && parseNumber(text.substr(colon + 1), port) && port <= 65535;
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> items;
    while (!text.empty()) {
        const auto comma = text.find(',');
        const auto item = trimmed(text.substr(0, comma));
        if (!item.empty())
            items.emplace_back(item);
        text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
    }
    return items;
}

SectionReader::SectionReader(const IniDocument& document, const IniSection& section, Diagnostics& diagnostics)
    : m_document(document)
    , m_section(section)
    , m_diagnostics(diagnostics)
{
}

const IniEntry* SectionReader::find(std::string_view key)
{
    m_permittedKeys.emplace(key);
    const auto it = std::find_if(m_section.entries.begin(), m_section.entries.end(), [key](const auto& entry) { return entry.key == key; });
    return it == m_section.entries.end() ? nullptr : &*it;
}

bool SectionReader::has(std::string_view key)
{
    return find(key) != nullptr;
}

void SectionReader::addDiagnostic(std::string_view key, std::string message)
{
    const auto* entry = find(key);
    m_diagnostics.push_back({ .file = m_document.file, .line = entry ? entry->line : m_section.line, .section = m_section.name, .key = std::string(key), .message = std::move(message) });
}

std::string SectionReader::required(std::string_view key)
{
    const auto* entry = find(key);
    if (entry && !entry->value.empty())
        return entry->value;
    addDiagnostic(key, "the key is missing and has no default");
    return {};
}

std::string SectionReader::optional(std::string_view key, const std::string& fallback)
{
    const auto* entry = find(key);
    return entry ? entry->value : fallback;
}

std::uint64_t SectionReader::number(std::string_view key, std::uint64_t fallback, NumberRange range)
{
    const auto* entry = find(key);
    if (!entry)
        return fallback;
    std::uint64_t value = 0;
    if (parseNumber(entry->value, value) && value >= range.min && value <= range.max)
        return value;
    addDiagnostic(key, fmt::format("`{}` is not a whole number from {} to {}", entry->value, range.min, range.max));
    return fallback;
}

Duration SectionReader::milliseconds(std::string_view key, Duration fallback, NumberRange range)
{
    const auto fallbackCount = std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count();
    return std::chrono::milliseconds(number(key, static_cast<std::uint64_t>(fallbackCount), range));
}

bool SectionReader::boolean(std::string_view key, bool fallback)
{
    const auto* entry = find(key);
    if (!entry)
        return fallback;
    if (entry->value == "true" || entry->value == "false")
        return entry->value == "true";
    addDiagnostic(key, fmt::format("`{}` is neither `true` nor `false`", entry->value));
    return fallback;
}

std::string SectionReader::choice(std::string_view key, const std::vector<std::string>& permitted)
{
    const auto* entry = find(key);
    if (!entry)
        return permitted.front();
    if (std::find(permitted.begin(), permitted.end(), entry->value) != permitted.end())
        return entry->value;
    addDiagnostic(key, fmt::format("`{}` is not one of: {}", entry->value, fmt::join(permitted, ", ")));
    return permitted.front();
}

std::vector<std::string> SectionReader::list(std::string_view key)
{
    const auto* entry = find(key);
    return entry ? splitList(entry->value) : std::vector<std::string> {};
}

std::string SectionReader::address(std::string_view key, std::string fallback)
{
    const auto* entry = find(key);
    if (!entry)
        return fallback;
    if (isAddress(entry->value))
        return entry->value;
    addDiagnostic(key, fmt::format("`{}` is not `ip:port` with a numeric IP address and a port up to 65535", entry->value));
    return fallback;
}

void SectionReader::rejectUnknownKeys()
{
    std::vector<std::string> permitted(m_permittedKeys.begin(), m_permittedKeys.end());
    for (const auto& entry : m_section.entries) {
        if (std::find(permitted.begin(), permitted.end(), entry.key) == permitted.end())
            addDiagnostic(entry.key, fmt::format("the key is unknown; permitted here: {}", fmt::join(permitted, ", ")));
    }
}

} // namespace HickoryHollow
