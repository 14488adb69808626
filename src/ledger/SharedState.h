/** \file
 * The replicated state machine. It holds the settings, the routing configuration, the outcomes of recent settings changes,
 * the claims of work that is run at most once, the holder of the singleton duties and the usage that is to be reported. It is deterministic: the same commands in the same order lead to the same
 * state and outcomes on every replica. Its time is that of the commands, never that of a local clock.
 */
#pragma once

#include "ledger/Commands.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace HickoryHollow {

/** All replicas must use the same limits, or their states diverge. They change only with a release that all replicas run. */
struct LedgerLimits {
    /** A claim is kept at least this long after it was answered or its outcome became unknown. */
    std::uint64_t finishedRetentionMilliseconds = 24ULL * 3600 * 1000;
    /** A claim that is in progress for longer may have run: its outcome becomes unknown. */
    std::uint64_t inProgressTimeoutMilliseconds = 15ULL * 60 * 1000;
    std::size_t maxClaimBytes = 32UL << 20U; ///< Estimated memory. New claims beyond it are refused; none is evicted early.
    std::size_t maxAnswerBytes = 4096; ///< The body of a larger answer is not recorded.
    std::size_t maxUnsentWindows = 720; ///< An hour of windows of 5 s.
    std::size_t maxRememberedChanges = 20'000; ///< Settings changes whose outcomes are kept; the oldest is dropped first.
};

class SharedState {
public:
    struct Settings {
        SettingsVersion version;
        std::string author;
        std::string inventory; ///< Text of the inventory, see settings/Inventory.h.
        std::string rules; ///< Text of the rules, see settings/Rules.h.

        bool operator==(const Settings&) const = default;
    };

    struct Claim {
        enum class State {
            InProgress, ///< The claimant may be running the work.
            Answered, ///< The work has run; `answer` is recorded.
            OutcomeUnknown, ///< The work may have run. It is not run again, and its answer is unknown.
        };

        std::string requestDigest; ///< Hash of the request that the work was claimed for.
        Claimant claimant;
        State state = State::InProgress;
        RecordedAnswer answer; ///< Valid in state Answered.
        LedgerTime since; ///< When the claim entered its state.

        bool operator==(const Claim&) const = default;
    };

    /** Outcome of a settings change, returned again if the change is submitted again. */
    struct RememberedChange {
        ChangeId change;
        SubmitOutcome outcome;

        bool operator==(const RememberedChange&) const = default;
    };

    /** The holder of all singleton duties. */
    struct Duties {
        InstanceId holder; ///< Empty if no instance ever held them.
        Incarnation incarnation; ///< Start of the process that took them.
        FencingToken token; ///< Index of the command that granted them; it never decreases.
        LedgerTime since;

        bool operator==(const Duties&) const = default;
    };

    struct Usage {
        UsageWindow newestFixed; ///< 0 if none was ever fixed.
        std::map<UsageWindow, UsageCounts> unsent; ///< Fixed and not acknowledged yet; the oldest are dropped beyond maxUnsentWindows.

        bool operator==(const Usage&) const = default;
    };

    explicit SharedState(LedgerLimits = {});

    /** Expires claims as of the command's time, then applies the command at `index` of the log. Commands must be applied in log order. */
    CommandOutcome apply(const LedgerCommand&, std::uint64_t index = 0);

    const Settings& settings() const { return m_settings; }
    const RoutingDocument& routing() const { return m_routing; }
    const Duties& duties() const { return m_duties; }
    const Usage& usage() const { return m_usage; }
    const std::map<WorkId, Claim>& claims() const { return m_claims; }
    /** The oldest change comes first. */
    const std::deque<RememberedChange>& changes() const { return m_changes; }
    /** Latest time of any applied command. */
    LedgerTime time() const { return m_time; }
    /** Estimated memory of all claims in bytes. */
    std::size_t claimBytes() const { return m_claimBytes; }

    /** Replaces the whole state by one that was decoded from a snapshot. The limits stay. */
    void restore(Settings, std::map<WorkId, Claim>, std::deque<RememberedChange>, LedgerTime, RoutingDocument, Duties = {}, Usage = {});

private:
    CommandOutcome submit(const SubmitSettings&);
    CommandOutcome claim(const ClaimWork&);
    CommandOutcome complete(const CompleteWork&);
    CommandOutcome abandon(const AbandonOwner&);
    CommandOutcome replaceRouting(const RoutingDocument&);
    CommandOutcome takeDuties(const TakeDuties&, std::uint64_t index);
    CommandOutcome fixUsage(const FixUsage&);
    void setState(const WorkId&, Claim&, Claim::State);
    /** Times out claims in progress and removes finished claims whose retention has ended. */
    void expireClaims();
    void recordOutcome(const ChangeId&, const SubmitOutcome&);
    void erase(std::map<WorkId, Claim>::iterator);

    LedgerLimits m_limits;
    LedgerTime m_time;
    Settings m_settings;
    RoutingDocument m_routing; // Its version never decreases.
    Duties m_duties;
    Usage m_usage;
    std::map<ChangeId, SubmitOutcome> m_outcomes; // Index of m_changes; both hold the same changes.
    std::deque<RememberedChange> m_changes; // The oldest change comes first.
    std::map<WorkId, Claim> m_claims;
    std::set<std::pair<LedgerTime, WorkId>> m_inProgressBySince; // Claims in progress, ordered by Claim::since.
    std::set<std::pair<LedgerTime, WorkId>> m_finishedBySince; // All other claims, ordered by Claim::since.
    std::size_t m_claimBytes = 0; // Sum of estimatedBytes() of all claims.
};

} // namespace HickoryHollow
