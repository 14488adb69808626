/** \file
 * Bounds the memory of the bytes of backend servers' answers that all exchanges hold back together, because a server in
 * trouble may send bytes without end. Used from one event loop only.
 */
#pragma once

#include <cstddef>

namespace HickoryHollow {

class BufferBudget {
public:
    static constexpr std::size_t defaultLimit = 32UL << 20U; ///< For tests; an instance derives it from its memory.
    /** Shares up to this size have a part of their own, so that endless answers stop no usual ones. */
    static constexpr std::size_t maxSmallShare = 64UL << 10U;

    /** Permits `limit` bytes to shares over `maxSmallShare`, and a quarter of that to the others. */
    explicit BufferBudget(std::size_t limit = defaultLimit)
        : m_large { .limit = limit }
        , m_small { .limit = limit / smallDivisor }
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
        ~Share() { m_budget.partOf(m_size).used -= m_size; }
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

        /** Sets the number of bytes held. Returns false and changes nothing if that is over the budget. */
        bool resize(std::size_t size)
        {
            auto& present = m_budget.partOf(m_size);
            auto& next = m_budget.partOf(size);
            const auto others = next.used - (&next == &present ? m_size : 0);
            if (size > m_size && (size > next.limit || others > next.limit - size))
                return false;
            present.used -= m_size;
            next.used += size;
            m_size = size;
            return true;
        }

    private:
        BufferBudget& m_budget;
        std::size_t m_size = 0;
    };

    std::size_t used() const { return m_large.used + m_small.used; }

private:
    static constexpr std::size_t smallDivisor = 4;

    struct Part {
        std::size_t limit = 0;
        std::size_t used = 0; // Sum of the sizes of its shares; above the limit only by shares that became smaller.
    };

    Part& partOf(std::size_t size) { return size > maxSmallShare ? m_large : m_small; }

    Part m_large;
    Part m_small;
};

} // namespace HickoryHollow
