/** \file
 * Converts observations and conclusions about the parts of prompts to and from their Thrift form.
 */
#pragma once

#include "placement/PromptEvidence.h"

namespace HickoryHollow::Wire {
class PromptEvidence;
class PromptVerdicts;
}

namespace HickoryHollow {

Wire::PromptEvidence toWire(const PromptEvidence&);
PromptEvidence fromWire(const Wire::PromptEvidence&);
Wire::PromptVerdicts toWire(const PromptVerdicts&);
PromptVerdicts fromWire(const Wire::PromptVerdicts&);

} // namespace HickoryHollow
