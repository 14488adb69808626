/** \file
 * Converts usage reports and reports of cached prefixes to and from their Thrift form.
 */
#pragma once

#include "node/UsageAggregator.h"

namespace HickoryHollow::Wire {
class KeptPrompts;
class UseReport;
}

namespace HickoryHollow {

Wire::UseReport toWire(const UsageReport&);
UsageReport fromWire(const Wire::UseReport&);
Wire::KeptPrompts toWire(const std::vector<CachedPrefixReport>&);
std::vector<CachedPrefixReport> fromWire(const Wire::KeptPrompts&);

} // namespace HickoryHollow
