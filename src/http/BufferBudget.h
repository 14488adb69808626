/** \file
 * Bounds the memory of the bytes of backend servers' answers that all calls hold back together, because a server in trouble may send
 * bytes without end. Where there is no room, the largest answer that is still incomplete is given up for a smaller one: one that does
 * not end grows until it is the largest, while others hold little for a moment. Used from one event loop only.
 */
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <list>
#include <utility>

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

    /** The bytes that one call holds; returns them to the budget at its end. */
    class Share {
    public:
        /** Called when the share is given up for another one; frees what it counts, at once or as soon as the event loop can. */
        using OnWithdrawn = std::function<void()>;

        /** The budget outlives the share. A share without `withdrawn` is never given up for another one. */
        explicit Share(BufferBudget& budget, OnWithdrawn withdrawn = {})
            : m_budget(budget)
            , m_onWithdrawn(std::move(withdrawn))
            , m_entry(budget.m_shares.insert(budget.m_shares.end(), this))
        {
        }
        ~Share()
        {
            m_budget.partOf(m_size).used -= m_size;
            m_budget.m_shares.erase(m_entry);
        }
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

        /** Sets the number of bytes held. Returns false and changes nothing if that is over the budget or the share was withdrawn. */
        bool resize(std::size_t size)
        {
            if (m_isWithdrawn)
                return false;
            while (size > m_size && !fits(size)) {
                if (!m_budget.withdrawLarger(size, *this))
                    return false;
            }
            m_budget.partOf(m_size).used -= m_size;
            m_budget.partOf(size).used += size;
            m_size = size;
            return true;
        }

        /** True once the share was given up for another one; it counts nothing any more. */
        bool isWithdrawn() const { return m_isWithdrawn; }
        /** From now on the share is not given up for others, since what it counts is complete. */
        void keep() { m_onWithdrawn = {}; }

    private:
        friend BufferBudget;

        bool fits(std::size_t size) const
        {
            const auto& next = m_budget.partOf(size);
            const auto others = next.used - (&next == &m_budget.partOf(m_size) ? m_size : 0);
            return size <= next.limit && others <= next.limit - size;
        }

        BufferBudget& m_budget;
        OnWithdrawn m_onWithdrawn;
        std::list<Share*>::iterator m_entry;
        std::size_t m_size = 0; // 0 once the share is withdrawn.
        bool m_isWithdrawn = false;
    };

    std::size_t used() const { return m_large.used + m_small.used; }

private:
    static constexpr std::size_t smallDivisor = 4;

    struct Part {
        std::size_t limit = 0;
        std::size_t used = 0; // Sum of the sizes of its shares; above the limit only by shares that became smaller.
    };

    Part& partOf(std::size_t size) { return size > maxSmallShare ? m_large : m_small; }

    /** Withdraws the largest share of the part that one of `size` would be in. Returns false if none there is larger than `size`. */
    bool withdrawLarger(std::size_t size, const Share& except)
    {
        auto& part = partOf(size);
        Share* largest = nullptr;
        for (auto* it : m_shares) {
            if (it != &except && it->m_onWithdrawn && &partOf(it->m_size) == &part && it->m_size > (largest ? largest->m_size : size))
                largest = it;
        }
        if (size > part.limit || !largest)
            return false;
        part.used -= largest->m_size;
        largest->m_size = 0;
        largest->m_isWithdrawn = true;
        std::exchange(largest->m_onWithdrawn, {})();
        return true;
    }

    Part m_large;
    Part m_small;
    std::list<Share*> m_shares;
};

} // namespace HickoryHollow
