/** \file
 * One fault in a settings file, with its place and a way out.
 */
#pragma once

#include <string>
#include <vector>

namespace HickoryHollow {

struct Complaint {
    std::string file;
    unsigned line = 0; ///< 1 is the first line; 0 where the fault belongs to the whole file.
    std::string section;
    std::string key;
    std::string message; ///< Names the permitted values where there are such.
};

using Complaints = std::vector<Complaint>;

/** `file:line: [section] key: message`. */
std::string toString(const Complaint&);
/** One line a complaint. */
std::string toString(const Complaints&);

} // namespace HickoryHollow
