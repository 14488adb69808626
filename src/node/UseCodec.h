/** \file
 * Reports of use to their Thrift form and back.
 */
#pragma once

#include "node/UseLedger.h"

namespace HickoryHollow::Wire {
class UseReport;
}

namespace HickoryHollow {

Wire::UseReport toWire(const UseReport&);
UseReport fromWire(const Wire::UseReport&);

} // namespace HickoryHollow
