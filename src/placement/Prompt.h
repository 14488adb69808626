/** \file
 * What a request says of the prompt that it brings to a model engine.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace HickoryHollow {

/** A part of a prompt. An engine that has read all parts up to it need not read it again. */
struct PromptPart {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

struct Prompt {
    std::string model; ///< Parts are shared only within a model.
    std::vector<PromptPart> parts; ///< In order; the last one belongs to the request or its session.
    std::uint32_t tokens = 0; ///< Of the whole prompt.
    std::uint32_t maxOutputTokens = 0;

    bool isEmpty() const { return parts.empty() && tokens == 0; }
};

} // namespace HickoryHollow
