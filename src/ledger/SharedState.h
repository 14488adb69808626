/** \file
 * The replicated state machine: settings with the outcomes of changes, and the claims of work that runs at most once.
 * Deterministic: equal commands in equal order give equal states and outcomes on every replica.
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

/** Limits that are equal on all replicas; a change of them needs a new version of the program everywhere. */
struct LedgerLimits {
    std::uint64_t retentionMilliseconds = 24ULL * 3600 * 1000; ///< A finished claim is kept at least as long.
    std::uint64_t openRetentionMilliseconds = 15ULL * 60 * 1000; ///< A claim in progress for longer may have run.
    std::size_t maxClaimBytes = 32UL << 20U; ///< Claims beyond it are refused; none is forgotten early.
    std::size_t maxAnswerBytes = 4096;
    std::size_t maxRememberedChanges = 20'000;
};

class SharedState {
public:
    struct Settings {
        SettingsVersion version;
        std::string author;
        std::string inventory;
        std::string rules;

        bool operator==(const Settings&) const = default;
    };

    struct Claim {
        enum class State {
            InProgress,
            Answered,
            OutcomeUnknown,
        };

        std::string requestDigest;
        Claimant claimant;
        State state = State::InProgress;
        RecordedAnswer answer;
        LedgerTime since; ///< When it came into its state.

        bool operator==(const Claim&) const = default;
    };

    struct RememberedChange {
        ChangeId change;
        SubmitOutcome outcome;

        bool operator==(const RememberedChange&) const = default;
    };

    explicit SharedState(LedgerLimits = {});

    CommandOutcome apply(const LedgerCommand&);

    const Settings& settings() const { return m_settings; }
    const RoutingDocument& routing() const { return m_routing; }
    const std::map<WorkId, Claim>& claims() const { return m_claims; }
    const std::deque<RememberedChange>& changes() const { return m_changes; }
    LedgerTime time() const { return m_time; }
    std::size_t claimBytes() const { return m_claimBytes; }

    /** Replaces the whole state, from a snapshot. */
    void restore(Settings, std::map<WorkId, Claim>, std::deque<RememberedChange>, LedgerTime, RoutingDocument);

private:
    CommandOutcome submit(const SubmitSettings&);
    CommandOutcome claim(const ClaimWork&);
    CommandOutcome complete(const CompleteWork&);
    CommandOutcome abandon(const AbandonOwner&);
    CommandOutcome replaceRouting(const RoutingDocument&);
    void setState(const WorkId&, Claim&, Claim::State);
    void expire();
    void remember(const ChangeId&, const SubmitOutcome&);
    void erase(std::map<WorkId, Claim>::iterator);

    LedgerLimits m_limits;
    LedgerTime m_time;
    Settings m_settings;
    RoutingDocument m_routing; // Its version only grows.
    std::map<ChangeId, SubmitOutcome> m_outcomes; // One for each of m_changes.
    std::deque<RememberedChange> m_changes; // Oldest first.
    std::map<WorkId, Claim> m_claims;
    std::set<std::pair<LedgerTime, WorkId>> m_openBySince; // Claims in progress.
    std::set<std::pair<LedgerTime, WorkId>> m_closedBySince; // All other claims.
    std::size_t m_claimBytes = 0; // Sum of sizeOf over the claims.
};

} // namespace HickoryHollow
