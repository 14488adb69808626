/** \file
 * An INI text parsed by libinih into sections and entries with line numbers.
 */
#pragma once

#include "settings/Diagnostic.h"

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
    std::string name; ///< The text between the brackets, such as `class live`.
    unsigned line = 0; ///< Line of the section's first entry, since libinih does not report section headers.
    std::vector<IniEntry> entries;
};

struct IniDocument {
    std::string file;
    std::vector<IniSection> sections; ///< In order of first appearance; a section without entries is not listed.
};

/**
 * Parses `text`. `file` only names the text in diagnostics. Adds a diagnostic for each line that is too long, each duplicate
 * key, and the first line that is not INI. Sections of the same name are merged.
 */
IniDocument parseIni(std::string file, std::string_view text, Diagnostics& diagnostics);

} // namespace HickoryHollow
