/** \file
 * Converts numbers of messages to enumerations.
 */
#pragma once

#include <cstdint>

namespace HickoryHollow {

/** The enumerator with this number, of which `last` has the largest; `otherwise` for a number that this version does not know. */
template <typename Enum>
Enum enumFromWire(std::int32_t number, Enum last, Enum otherwise)
{
    return number >= 0 && number <= static_cast<std::int32_t>(last) ? static_cast<Enum>(number) : otherwise;
}

} // namespace HickoryHollow
