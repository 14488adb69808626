/** \file
 * Bounds retries to a share of first attempts, so that trouble is not multiplied.
 */
#pragma once

#include <cstdint>

namespace HickoryHollow {

/** Counts in hundredths of a retry: each first attempt adds the percentage, each retry takes a hundred. */
class RetryBudget {
public:
    explicit RetryBudget(std::uint32_t percent)
        : m_percent(percent)
    {
    }

    void firstAttempt()
    {
        m_hundredths += m_percent;
        if (m_hundredths > maxHundredths)
            m_hundredths = maxHundredths;
    }

    /** Takes one retry from the budget; false when there is none left. */
    bool tryRetry()
    {
        if (m_hundredths < costHundredths)
            return false;
        m_hundredths -= costHundredths;
        return true;
    }

    /** Follows a change of the rules; what was saved stays. */
    void setPercent(std::uint32_t percent) { m_percent = percent; }

private:
    static constexpr std::uint32_t costHundredths = 100;
    static constexpr std::uint32_t maxHundredths = 10 * costHundredths; // Retries that a quiet time can save up.
    static constexpr std::uint32_t initialHundredths = 3 * costHundredths; // A new process can still ride out one lost server.

    std::uint32_t m_percent;
    std::uint32_t m_hundredths = initialHundredths;
};

} // namespace HickoryHollow
