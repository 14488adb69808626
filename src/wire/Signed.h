/** \file
 * Conversion of unsigned 64-bit numbers to and from Thrift's i64, which has no unsigned form. The bit pattern is kept, so
 * every value survives the round trip.
 */
#pragma once

#include <cstdint>

namespace HickoryHollow {

constexpr std::int64_t toSigned(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

constexpr std::uint64_t toUnsigned(std::int64_t value)
{
    return static_cast<std::uint64_t>(value);
}

} // namespace HickoryHollow
