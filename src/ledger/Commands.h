/** \file
 * The commands of the replicated state and their outcomes.
 */
#pragma once

#include "base/Ids.h"
#include "base/Verdict.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

namespace HickoryHollow {

/** Time by the leader's wall clock, in milliseconds; made monotonic by the state machine. */
using LedgerTime = StrongId<struct LedgerTimeTag, std::uint64_t>;

/** Who made a claim: unique for ever, so that a claim proposed twice is one claim. */
struct Claimant {
    InstanceId instance;
    Incarnation incarnation;
    std::uint64_t sequence = 0;

    auto operator<=>(const Claimant&) const = default;
};

/** Name of one piece of work that runs at most once. */
struct WorkId {
    WorkspaceId workspace;
    ServiceId service;
    IdempotencyKey key;

    auto operator<=>(const WorkId&) const = default;
};

/** A recorded answer. */
struct RecordedAnswer {
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
    bool isKept = true; ///< False where the body was too large to record.

    bool operator==(const RecordedAnswer&) const = default;
};

struct SubmitSettings {
    ChangeId change;
    std::string author;
    SettingsVersion expected;
    std::string inventory;
    std::string rules;
};

struct ClaimWork {
    WorkId work;
    std::string requestDigest;
    Claimant claimant;
};

struct CompleteWork {
    WorkId work;
    Claimant claimant;
    Verdict verdict = Verdict::MayHaveRun;
    RecordedAnswer answer; ///< For `Ran`.
};

/** Every claim in progress that the instance made before this incarnation may have run. */
struct AbandonOwner {
    InstanceId instance;
    Incarnation before;
};

/** Moves the state's time on, so that retention works without traffic. */
struct AdvanceTime {
};

/** A whole routing configuration, as its author wrote it. Replaces one with a lower version; else it changes nothing. */
struct RoutingDocument {
    RoutingVersion version;
    std::string text;

    bool operator==(const RoutingDocument&) const = default;
};

using CommandBody = std::variant<SubmitSettings, ClaimWork, CompleteWork, AbandonOwner, AdvanceTime, RoutingDocument>;

struct LedgerCommand {
    LedgerTime time;
    CommandBody body;
};

struct SubmitOutcome {
    bool isAccepted = false;
    SettingsVersion version; ///< Accepted: the new one. Else the one in force.
    std::string author; ///< Of that version.

    bool operator==(const SubmitOutcome&) const = default;
};

struct ClaimOutcome {
    enum class Kind {
        Granted,
        Answered,
        InProgress,
        OutcomeUnknown,
        OtherRequest,
        LedgerFull,
    };

    Kind kind = Kind::LedgerFull;
    RecordedAnswer answer;

    bool operator==(const ClaimOutcome&) const = default;
};

struct RoutingOutcome {
    RoutingVersion version; ///< In force after the command.

    bool operator==(const RoutingOutcome&) const = default;
};

/** Outcome of a command that only changes the state. */
struct NoOutcome {
    bool operator==(const NoOutcome&) const = default;
};

using CommandOutcome = std::variant<NoOutcome, SubmitOutcome, ClaimOutcome, RoutingOutcome>;

} // namespace HickoryHollow
