/** \file
 * Reads a small text file into memory.
 */
#pragma once

#include <string>

namespace HickoryHollow {

/** Returns the content of the file. Throws UserError with the path and the cause if it cannot be opened. */
std::string readFileText(const std::string& path);

} // namespace HickoryHollow
