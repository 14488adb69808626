/** \file
 * Interface of the ledger that makes sure that work under an idempotency key runs at most once.
 */
#pragma once

#include "base/Ids.h"
#include "base/Verdict.h"
#include "http/HttpMessage.h"
#include "net/Task.h"

#include <cstdint>
#include <string>

namespace HickoryHollow {

/** Identifies one piece of work by its caller's idempotency key. */
struct ClaimKey {
    WorkspaceId workspace;
    ServiceId service;
    IdempotencyKey key;
    std::string requestDigest; ///< SHA-256 of method, target and body. The same key with another digest is an error.
};

struct ClaimResult {
    enum class Kind {
        Granted, ///< The claim is on disk at a quorum. Only this caller of claim() may send the work.
        Answered, ///< The work ran; `answer` is the recorded answer.
        AnswerNotKept, ///< The work ran, but its answer was too large to record.
        InProgress, ///< Another instance or request holds the claim.
        OutcomeUnknown, ///< The work may have run and will not be sent again.
        OtherRequest, ///< The key was used before with a different request.
        Unavailable, ///< The ledger could not grant the claim, for example without a quorum. Nothing may be sent.
    };

    Kind kind = Kind::Unavailable;
    std::uint64_t ticket = 0; ///< Identifies a granted claim in complete().
    HttpResponse answer; ///< Set for `Answered` only.
};

class IdempotencyLedger {
public:
    virtual ~IdempotencyLedger() = default;

    /** Asks for the sole right to send the work. */
    virtual Task<ClaimResult> claim(const ClaimKey&) = 0;
    /** Records the verdict of claimed work. `NotRun` releases the key; after `MayHaveRun` its work is never sent again. */
    virtual Task<void> complete(const ClaimKey&, std::uint64_t ticket, Verdict, const HttpResponse& answer) = 0;
};

} // namespace HickoryHollow
