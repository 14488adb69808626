/** \file
 * Reads a small text file whole.
 */
#pragma once

#include <string>

namespace HickoryHollow {

/** Throws UserError naming the file. */
std::string readFileText(const std::string& path);

} // namespace HickoryHollow
