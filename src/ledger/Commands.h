/** \file
 * Commands of the replicated state machine and their outcomes.
 */
#pragma once

#include "base/Ids.h"
#include "base/Verdict.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace HickoryHollow {

/** Wall-clock time of the leader in milliseconds since 1970. The state machine ignores a time earlier than its own. */
using LedgerTime = StrongId<struct LedgerTimeTag, std::uint64_t>;

/**
 * Identifies one attempt to claim work. It is never reused, so a claim that is proposed again after its result was lost is
 * recognized as the same claim.
 */
struct Claimant {
    InstanceId instance;
    Incarnation incarnation; ///< Start number of the process on `instance`.
    std::uint64_t sequence = 0; ///< Number of the claim within that process.

    auto operator<=>(const Claimant&) const = default;
};

/** Identifies a unit of work that is run at most once: a request with an idempotency key. */
struct WorkId {
    WorkspaceId workspace;
    ServiceId service;
    IdempotencyKey key;

    auto operator<=>(const WorkId&) const = default;
};

/** Answer of a backend server, recorded so that it can be returned when the request is repeated. */
struct RecordedAnswer {
    std::uint32_t status = 0; ///< HTTP status.
    std::string contentType;
    std::string body;
    bool isBodyRecorded = true; ///< False if the body was larger than LedgerLimits::maxAnswerBytes. `body` is then empty.

    bool operator==(const RecordedAnswer&) const = default;
};

/** Replaces the settings if their version is `expected`. A change that is submitted again gets its first outcome. */
struct SubmitSettings {
    ChangeId change; ///< Identifies the change when it is submitted again.
    std::string author;
    SettingsVersion expected; ///< Version that the change is based on.
    std::string inventory; ///< Text of the inventory, see settings/Inventory.h.
    std::string rules; ///< Text of the rules, see settings/Rules.h.
};

/** Claims the right to run the work. */
struct ClaimWork {
    WorkId work;
    std::string requestDigest; ///< Hash of the request. A claim of the same work with another digest is refused.
    Claimant claimant;
};

/** Reports the result of claimed work. Ignored if there is no claim by `claimant`, or the claim is already answered. */
struct CompleteWork {
    WorkId work;
    Claimant claimant;
    /** `Ran` records `answer`, also if the outcome was unknown. `NotRun` removes a claim in progress, so that the work may
     *  be claimed again. `MayHaveRun` makes the outcome unknown. */
    Verdict verdict = Verdict::MayHaveRun;
    RecordedAnswer answer; ///< Used only if the verdict is `Ran`.
};

/** Makes the outcomes of claims in progress unknown that were made by earlier processes of the instance. */
struct AbandonOwner {
    InstanceId instance;
    Incarnation before; ///< Applies to the claims of all lower incarnations.
};

/** Only advances the time of the state machine, so that claims expire when there are no other commands. */
struct AdvanceTime {
};

/** A complete routing configuration as text. It replaces the active one only if its version is higher. */
struct RoutingDocument {
    RoutingVersion version;
    std::string text;

    bool operator==(const RoutingDocument&) const = default;
};

/** Makes one start of an instance the holder of all singleton duties. The index of the command in the log is the fencing token. */
struct TakeDuties {
    InstanceId holder;
    Incarnation incarnation;
};

/** Requests that began to run in one window, by workspace. */
struct UsageCounts {
    UsageWindow window;
    std::map<WorkspaceId, std::uint64_t> starts;

    bool operator==(const UsageCounts&) const = default;
};

/**
 * Fixes what is reported for a window. Ignored if `token` is not the present holder's or a later window is fixed already. The first
 * one of all only says that reports are owed from the next window on, so that a hand-over before the first report loses none.
 */
struct FixUsage {
    UsageCounts counts;
    FencingToken token;
    bool isStart = false; ///< The holder knows of no fixed window. Ignored by a replica that does.
};

/** The report for the window was acknowledged and is not needed any more. */
struct UsageSent {
    UsageWindow window;
};

using CommandBody = std::variant<SubmitSettings, ClaimWork, CompleteWork, AbandonOwner, AdvanceTime, RoutingDocument, TakeDuties, FixUsage, UsageSent>;

struct LedgerCommand {
    LedgerTime time; ///< When the leader proposed the command.
    CommandBody body;
};

struct SubmitOutcome {
    bool isAccepted = false;
    SettingsVersion version; ///< Accepted: the new version. Rejected: the active version, which is not the expected one.
    std::string author; ///< Author of `version`.

    bool operator==(const SubmitOutcome&) const = default;
};

struct ClaimOutcome {
    enum class Kind {
        Granted, ///< The claimant holds the claim and may run the work.
        Answered, ///< The work has run; `answer` is its recorded answer.
        InProgress, ///< Another claimant holds the claim.
        OutcomeUnknown, ///< The work may have run, and its answer is unknown.
        OtherRequest, ///< The work was claimed for a request with another digest.
        LedgerFull, ///< A new claim would exceed LedgerLimits::maxClaimBytes. Nothing was claimed.
    };

    Kind kind = Kind::LedgerFull;
    RecordedAnswer answer;

    bool operator==(const ClaimOutcome&) const = default;
};

struct RoutingOutcome {
    RoutingVersion version; ///< Active version after the command.

    bool operator==(const RoutingOutcome&) const = default;
};

/** Outcome of a command that returns no result. */
struct NoOutcome {
    bool operator==(const NoOutcome&) const = default;
};

using CommandOutcome = std::variant<NoOutcome, SubmitOutcome, ClaimOutcome, RoutingOutcome>;

} // namespace HickoryHollow
