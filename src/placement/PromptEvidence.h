/** \file
 * What entry instances observe of the parts of prompts, for finding a part that crashes the engines: crashes while a prompt
 * was answered, and answers that were whole. State instances collect it, and return the parts that must not be sent.
 */
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <vector>

namespace HickoryHollow {

/** A server ended the connection while it answered a prompt, as a crash does. */
struct PromptCrash {
    std::uint64_t server = 0; ///< Hash of the server's address and incarnation.
    Duration sentFor {}; ///< From sending the request to the end of the connection.
    Duration age {}; ///< Time since the end of the connection.
    std::vector<std::uint64_t> parts; ///< Ids of the parts of the prompt that other requests may share.
};

/** A server answered a prompt with this part to the end. */
struct PartAnswered {
    std::uint64_t part = 0; ///< Id of the part.
    Duration age {}; ///< Time since the answer ended.
};

/** New observations, from an entry instance or passed on between state instances. */
struct PromptEvidence {
    std::vector<PromptCrash> crashes;
    std::vector<PartAnswered> answered;
    std::vector<std::uint64_t> quarantined; ///< Parts in quarantine as far as the sender knows.

    bool isEmpty() const { return crashes.empty() && answered.empty() && quarantined.empty(); }
};

/** What state instances find, for entry instances. */
struct PromptFindings {
    std::vector<std::uint64_t> suspects; ///< Parts of which whole answers are to be reported.
    std::vector<std::uint64_t> quarantined; ///< Parts that must not be sent to any server.

    bool isEmpty() const { return suspects.empty() && quarantined.empty(); }
    bool operator==(const PromptFindings&) const = default;
};

} // namespace HickoryHollow
