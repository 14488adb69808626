/** \file
 * Bounds the memory of the bytes of backend servers' answers that all exchanges hold back together, because a server in
 * trouble may send bytes without end. Used from one event loop only.
 */
#pragma once

#include <cstddef>

namespace HickoryHollow {

class BufferBudget {
public:
    static constexpr std::size_t defaultLimit = 32UL << 20U; ///< The smallest instances have 88 MB.
    static constexpr std::size_t alwaysPermitted = 64UL << 10U; ///< Of one share, so that endless answers stop no usual ones.

    explicit BufferBudget(std::size_t limit = defaultLimit)
        : m_limit(limit)
    {
    }

    /** The bytes that one exchange holds; returns them to the budget at its end. */
    class Share {
    public:
        /** The budget outlives the share. */
        explicit Share(BufferBudget& budget)
            : m_budget(budget)
        {
        }
        ~Share() { m_budget.m_used -= m_size; }
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

        /** Sets the number of bytes held. Returns false and changes nothing if that is over the budget. */
        bool resize(std::size_t size)
        {
            const auto others = m_budget.m_used - m_size;
            if (size > m_size && size > alwaysPermitted && others + size > m_budget.m_limit)
                return false;
            m_budget.m_used = others + size;
            m_size = size;
            return true;
        }

    private:
        BufferBudget& m_budget;
        std::size_t m_size = 0;
    };

    std::size_t used() const { return m_used; }

private:
    std::size_t m_limit;
    std::size_t m_used = 0; // Sum of the sizes of all shares; may exceed m_limit by `alwaysPermitted` each.
};

} // namespace HickoryHollow
