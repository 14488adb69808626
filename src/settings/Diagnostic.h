/** \file
 * An error in a settings file, with its location and how to correct it.
 */
#pragma once

#include <string>
#include <vector>

namespace HickoryHollow {

struct Diagnostic {
    std::string file;
    unsigned line = 0; ///< The first line is 1; 0 if no single line is at fault, as with a missing section.
    std::string section; ///< Empty if the error is not in a section.
    std::string key; ///< Empty if the error concerns no single key.
    std::string message; ///< Names the permitted values or the limit, if there are any.
};

using Diagnostics = std::vector<Diagnostic>;

/** `file:line: [section] key: message`, without an empty section or key. */
std::string toString(const Diagnostic&);
/** One line for each element, in order. */
std::string toString(const Diagnostics&);

} // namespace HickoryHollow
