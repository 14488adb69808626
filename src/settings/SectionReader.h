/** \file
 * Typed access to the entries of one INI section. Collects a complaint for every fault instead of stopping at the first.
 */
#pragma once

#include "base/Time.h"
#include "settings/Complaint.h"
#include "settings/IniDocument.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace HickoryHollow {

/** Inclusive range of permitted numbers. */
struct NumberRange {
    std::uint64_t least = 0;
    std::uint64_t most = UINT64_MAX;
};

class SectionReader {
public:
    SectionReader(const IniDocument&, const IniSection&, Complaints&);

    bool has(std::string_view key);
    /** Text of a key that must be there; empty after a complaint. */
    std::string required(std::string_view key);
    std::string optional(std::string_view key, const std::string& fallback = {});
    std::uint64_t number(std::string_view key, std::uint64_t fallback, NumberRange);
    /** A key whose name ends in `-ms`. */
    Duration milliseconds(std::string_view key, Duration fallback, NumberRange);
    bool boolean(std::string_view key, bool fallback);
    /** One of `permitted`; the first of them when the key is not there. */
    std::string choice(std::string_view key, const std::vector<std::string>& permitted);
    /** Items between commas, without white space around them. */
    std::vector<std::string> list(std::string_view key);
    /** `ip:port` with a numeric IP. */
    std::string address(std::string_view key, std::string fallback = {});
    /** Adds a complaint at the line of `key`. */
    void complain(std::string_view key, std::string message);
    /** Call last: adds a complaint for each entry that was never asked for. */
    void rejectUnknownKeys();

private:
    const IniEntry* find(std::string_view key);

    const IniDocument& m_document;
    const IniSection& m_section;
    Complaints& m_complaints;
    std::set<std::string, std::less<>> m_known; // Every key that was asked for.
};

/** True for `ip:port` with a numeric IPv4 address or a bracketed IPv6 one. */
bool isAddress(std::string_view);
/** Items between commas, without white space around them and without empty ones. */
std::vector<std::string> splitList(std::string_view);

} // namespace HickoryHollow
