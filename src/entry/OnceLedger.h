/** \file
 * The record of work that runs at most once, as an entry instance uses it.
 */
#pragma once

#include "base/Ids.h"
#include "base/Verdict.h"
#include "http/HttpMessage.h"
#include "net/Task.h"

#include <cstdint>
#include <string>

namespace HickoryHollow {

/** One piece of work under a caller's key. */
struct ClaimKey {
    WorkspaceId workspace;
    ServiceId service;
    IdempotencyKey key;
    std::string requestDigest; ///< Digest of method, target and body; another one under the same key is an error.
};

struct ClaimResult {
    enum class Kind {
        Granted, ///< Synced on a quorum: the caller of claim() alone may send it.
        Answered, ///< It ran; `answer` is what it answered.
        AnswerNotKept, ///< It ran, and the answer was too large to record.
        InProgress, ///< Another instance or request holds the claim.
        OutcomeUnknown, ///< It may have run and nobody will send it again.
        OtherRequest, ///< The key was used with another request.
        Unavailable, ///< No quorum within reach. Nothing was claimed as far as is known, and nothing may be sent.
    };

    Kind kind = Kind::Unavailable;
    std::uint64_t ticket = 0; ///< Names a granted claim for complete().
    HttpResponse answer;
};

class OnceLedger {
public:
    virtual ~OnceLedger() = default;

    virtual Task<ClaimResult> claim(const ClaimKey&) = 0;
    /** Records how claimed work ended. `NotRun` frees the key; `MayHaveRun` closes it for ever. */
    virtual Task<void> complete(const ClaimKey&, std::uint64_t ticket, Verdict, const HttpResponse& answer) = 0;
};

} // namespace HickoryHollow
