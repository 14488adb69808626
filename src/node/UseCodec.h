/** \file
 * Reports of use to their Thrift form and back.
 */
#pragma once

#include "node/UseLedger.h"

namespace HickoryHollow::Wire {
class KeptPrompts;
class UseReport;
}

namespace HickoryHollow {

Wire::UseReport toWire(const UseReport&);
UseReport fromWire(const Wire::UseReport&);
Wire::KeptPrompts toWire(const std::vector<KeptPromptNews>&);
std::vector<KeptPromptNews> fromWire(const Wire::KeptPrompts&);

} // namespace HickoryHollow
