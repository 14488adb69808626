/** \file
 * Tells whether a text is a JSON document, without a tree: one takes many times the memory of its text, which a server may choose.
 */
#pragma once

#include <string_view>

namespace HickoryHollow {

/** True for one JSON document with at most 32 levels and nothing behind it but white space. */
bool isJson(std::string_view);

} // namespace HickoryHollow
