/** \file
 * A distinct type per kind of identifier, so that a workspace id cannot be passed where a model id is expected.
 */
#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace HickoryHollow {

/** Wraps a representation in a type that only compares and hashes with its own kind. */
template <typename Tag, typename Rep = std::string>
class StrongId {
public:
    StrongId() = default;
    explicit StrongId(Rep value)
        : m_value(std::move(value))
    {
    }

    const Rep& value() const { return m_value; }
    auto operator<=>(const StrongId&) const = default;

private:
    Rep m_value {};
};

} // namespace HickoryHollow

template <typename Tag, typename Rep>
struct std::hash<HickoryHollow::StrongId<Tag, Rep>> {
    std::size_t operator()(const HickoryHollow::StrongId<Tag, Rep>& id) const noexcept
    {
        return std::hash<Rep> {}(id.value());
    }
};
