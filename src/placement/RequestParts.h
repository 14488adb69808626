/** \file
 * What requests may have in common with others that crash servers: parts of their prompts, and the request as a whole if its caller
 * sends it again.
 */
#pragma once

#include "base/Ids.h"
#include "placement/Prompt.h"

#include <string_view>
#include <vector>

namespace HickoryHollow {

/** Returns the parts that other prompts may share: all but the last one, each once, sorted. */
std::vector<PromptPartId> sharedPartsOf(const Prompt&);

/** Identifies all requests with this method, path, workspace and body, which is empty where the request needs no key. */
PromptPartId wholeRequestOf(std::string_view method, std::string_view target, const WorkspaceId&, std::string_view body);

/**
 * Identifies all requests with this whole request, model and prompt. The body need not hold the prompt, so that requests with
 * different prompts may be equal without it.
 */
PromptPartId wholeRequestOf(PromptPartId request, const Prompt&);

} // namespace HickoryHollow
