/** \file
 * Converts limits of servers, the demand for permits and permits to and from their Thrift form.
 */
#pragma once

#include "placement/LimitMessages.h"

namespace HickoryHollow::Wire {
class LimitReport;
class LimitUpdate;
}

namespace HickoryHollow {

Wire::LimitReport toWire(const LimitReport&);
LimitReport fromWire(const Wire::LimitReport&);
Wire::LimitUpdate toWire(const LimitUpdate&);
LimitUpdate fromWire(const Wire::LimitUpdate&);

} // namespace HickoryHollow
