/** \file
 * Description of a request's prompt as its caller gives it: the parts by id and length, without their text.
 */
#pragma once

#include "base/StrongId.h"

#include <cstdint>
#include <string>
#include <vector>

namespace HickoryHollow {

/** Identifies a part of a prompt. Equal ids within a model stand for equal text. */
using PromptPartId = StrongId<struct PromptPartTag, std::uint64_t>;

/** One part of a prompt. An engine that has this part and all parts before it in its cache need not prefill it again. */
struct PromptPart {
    PromptPartId id;
    std::uint32_t tokens = 0; ///< Length of the part.
};

struct Prompt {
    std::string model; ///< Prompts of different models share no cached parts.
    std::vector<PromptPart> parts; ///< In order of the text; the last one belongs to this request or its session alone.
    std::uint32_t tokens = 0; ///< Length of the whole prompt.
    std::uint32_t maxOutputTokens = 0; ///< Limit for the length of the answer.

    /** True for a request that brings no prompt, such as a call of a service that is no model engine. */
    bool isEmpty() const { return parts.empty() && tokens == 0; }
};

} // namespace HickoryHollow
