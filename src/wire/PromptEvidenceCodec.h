/** \file
 * Converts observations and findings about the parts of prompts to and from their Thrift form.
 */
#pragma once

#include "placement/PromptEvidence.h"

namespace HickoryHollow::Wire {
class PromptEvidence;
class PromptFindings;
}

namespace HickoryHollow {

Wire::PromptEvidence toWire(const PromptEvidence&);
PromptEvidence fromWire(const Wire::PromptEvidence&);
Wire::PromptFindings toWire(const PromptFindings&);
PromptFindings fromWire(const Wire::PromptFindings&);

} // namespace HickoryHollow
