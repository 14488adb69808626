/** \file
 * Unsigned numbers in Thrift's signed fields, bit for bit.
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
