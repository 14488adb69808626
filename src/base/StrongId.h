/** \file
 * One type for each kind of identifier, so that a workspace id cannot be passed where a model id is expected.
 */
#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace HickoryHollow {

/** Identifier represented by a `Rep`. Two ids compare only if they have the same `Tag`, an otherwise unused type. */
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
