/** \file
 * Typed access to the entries of one INI section. Adds a diagnostic for every error instead of stopping at the first.
 */
#pragma once

#include "base/Time.h"
#include "settings/Diagnostic.h"
#include "settings/IniDocument.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace HickoryHollow {

/** Inclusive range of permitted numbers. */
struct NumberRange {
    std::uint64_t min = 0;
    std::uint64_t max = UINT64_MAX;
};

/** Every method that takes a key marks it as permitted in this section. */
class SectionReader {
public:
    /** All three arguments outlive the reader. */
    SectionReader(const IniDocument&, const IniSection&, Diagnostics&);

    bool has(std::string_view key);
    /** Value of a mandatory key. If it is missing or empty, adds a diagnostic and returns an empty string. */
    std::string required(std::string_view key);
    /** Value of the key, or `fallback` if the key is missing. */
    std::string optional(std::string_view key, const std::string& fallback = {});
    /** Decimal integer in the range; `fallback` if the key is missing, or after a diagnostic if the value is invalid. */
    std::uint64_t number(std::string_view key, std::uint64_t fallback, NumberRange);
    /** The same for a key in milliseconds, whose name ends in `-ms`. The range is in milliseconds. */
    Duration milliseconds(std::string_view key, Duration fallback, NumberRange);
    /** `true` or `false`. Returns `fallback` if the key is missing, or after a diagnostic for any other value. */
    bool boolean(std::string_view key, bool fallback);
    /** One of `permitted`. Returns the first of them if the key is missing, or after a diagnostic for any other value. */
    std::string choice(std::string_view key, const std::vector<std::string>& permitted);
    /** Items of a comma-separated list as splitList() returns them; empty if the key is missing. */
    std::vector<std::string> list(std::string_view key);
    /** `ip:port`, see isAddress(); `fallback` if the key is missing, or after a diagnostic if the value is invalid. */
    std::string address(std::string_view key, std::string fallback = {});
    /** Adds a diagnostic at the line of `key`, or at the section's line if the key is missing. */
    void addDiagnostic(std::string_view key, std::string message);
    /** Adds a diagnostic for each entry whose key no method was called with. Must be called last. */
    void rejectUnknownKeys();

private:
    const IniEntry* find(std::string_view key);

    const IniDocument& m_document;
    const IniSection& m_section;
    Diagnostics& m_diagnostics;
    std::set<std::string, std::less<>> m_permittedKeys; // Every key that a method was called with.
};

/** True for `ip:port` with a numeric IPv4 address or a bracketed IPv6 one. */
bool isAddress(std::string_view);
/** Items of a comma-separated list without surrounding spaces and tabs; empty items are left out. */
std::vector<std::string> splitList(std::string_view);

} // namespace HickoryHollow
