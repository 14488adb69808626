/** \file
 * Converts reports for admission under overload to and from their Thrift form.
 */
#pragma once

#include "placement/CompletionModel.h"

#include <vector>

namespace HickoryHollow::Wire {
class AdmissionReport;
}

namespace HickoryHollow {

Wire::AdmissionReport toWire(const std::vector<ClassCompletions>&);
/** Leaves out sums that no requests can have, which would hide the times of the others. */
std::vector<ClassCompletions> fromWire(const Wire::AdmissionReport&);

} // namespace HickoryHollow
