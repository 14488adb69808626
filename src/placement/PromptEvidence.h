/** \file
 * What entry instances observe of the parts of prompts, for finding a part that crashes the engines: crashes while a prompt
 * was answered, and answers that were whole. State instances collect it, and return the parts that must not be sent.
 */
#pragma once

#include "base/Time.h"
#include "placement/Prompt.h"
#include "placement/ServerStart.h"

#include <cstdint>
#include <vector>

namespace HickoryHollow {

/** A server ended the connection while it answered a prompt, as a crash does. */
struct PromptCrash {
    ServerStartId server;
    Duration sentFor {}; ///< From sending the request to the end of the connection.
    Duration age {}; ///< Time since the end of the connection.
    std::vector<PromptPartId> parts; ///< The parts of the prompt that other requests may share.
};

/** A server answered a prompt with this part to the end. */
struct PartAnswered {
    PromptPartId part;
    Duration age {}; ///< Time since the answer ended.
};

/** New observations, from an entry instance or passed on between state instances. */
struct PromptEvidence {
    std::vector<PromptCrash> crashes;
    std::vector<PartAnswered> answered;
    std::vector<PromptPartId> quarantined; ///< Parts in quarantine as far as the sender knows.

    bool isEmpty() const { return crashes.empty() && answered.empty() && quarantined.empty(); }
};

/** What state instances find, for entry instances. */
struct PromptFindings {
    std::vector<PromptPartId> suspects; ///< Parts of which whole answers are to be reported.
    std::vector<PromptPartId> quarantined; ///< Parts that must not be sent to any server.

    bool isEmpty() const { return suspects.empty() && quarantined.empty(); }
    bool operator==(const PromptFindings&) const = default;
};

} // namespace HickoryHollow
