/** \file
 * An INI text as sections of entries with their line numbers, read by libinih.
 */
#pragma once

#include "settings/Complaint.h"

#include <string>
#include <string_view>
#include <vector>

namespace HickoryHollow {

struct IniEntry {
    std::string key;
    std::string value;
    unsigned line = 0;
};

struct IniSection {
    std::string name; ///< Whole text between the brackets, such as `class live`.
    unsigned line = 0; ///< Line of the first entry.
    std::vector<IniEntry> entries;
};

struct IniDocument {
    std::string file;
    std::vector<IniSection> sections;
};

/** Reads `text`; lines that are no INI and keys given twice are added to `complaints`. */
IniDocument parseIni(std::string file, std::string_view text, Complaints& complaints);

} // namespace HickoryHollow
