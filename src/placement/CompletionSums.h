/** \file
 * Sums of completions by class on their way between instances. Does no I/O and reads no clock.
 */
#pragma once

#include "placement/CompletionModel.h"

#include <map>
#include <utility>
#include <vector>

namespace HickoryHollow {

/** Adds up reports until they are passed on. Classes beyond a limit, far above that of any configuration, are left out. */
class CompletionSums {
public:
    void add(const std::vector<ClassCompletions>&);
    bool isEmpty() const { return m_sums.empty(); }
    /** Returns the sums since the last call, one for each class. */
    std::vector<ClassCompletions> take();

private:
    std::map<std::pair<ServiceId, std::uint32_t>, ClassCompletions> m_sums; // By service and priority.
};

} // namespace HickoryHollow
