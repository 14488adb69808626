/** \file
 * Limits the router's retries to a share of first attempts, so that retries do not amplify an overload.
 */
#pragma once

#include <cstdint>

namespace HickoryHollow {

/** Counts in hundredths of a retry: each first attempt adds `percent`, each retry takes 100. */
class RetryBudget {
public:
    /** `percent` is the number of retries permitted for 100 first attempts. */
    explicit RetryBudget(std::uint32_t percent)
        : m_percent(percent)
    {
    }

    /** Adds the share of one first attempt to the budget. */
    void firstAttempt()
    {
        m_hundredths += m_percent;
        if (m_hundredths > maxHundredths)
            m_hundredths = maxHundredths;
    }

    /** Takes one retry from the budget. Returns false if less than one is left. */
    bool tryRetry()
    {
        if (m_hundredths < costHundredths)
            return false;
        m_hundredths -= costHundredths;
        return true;
    }

    /** Changes the percentage for first attempts from now on; the saved budget stays. */
    void setPercent(std::uint32_t percent) { m_percent = percent; }

private:
    static constexpr std::uint32_t costHundredths = 100;
    static constexpr std::uint32_t maxHundredths = 10 * costHundredths; // At most ten retries accumulate while none is needed.
    // A new process can retry after the loss of one backend server.
    static constexpr std::uint32_t initialHundredths = 3 * costHundredths;

    std::uint32_t m_percent;
    std::uint32_t m_hundredths = initialHundredths;
};

} // namespace HickoryHollow
