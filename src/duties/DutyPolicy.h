/** \file
 * Decides which instance may call the provider. The leader of the replicated log takes all duties; its permission ends with the last
 * confirmation by a quorum, so a holder that was suspended or cut off makes no call on an expired one. Does no I/O and reads no
 * clock. Asked for each call to the provider, some tens a second at most, and ten times a second besides.
 */
#pragma once

#include "duties/DutyState.h"

#include <compare>
#include <set>
#include <string>

namespace HickoryHollow {

/** What the provider checks fencing tokens for: the servers of one service in one failure domain, or all usage reports. */
struct DutySubject {
    ServiceId service; ///< Empty for the usage reports.
    FailureDomainId domain;

    auto operator<=>(const DutySubject&) const = default;
};

/** For log lines. */
std::string toString(const DutySubject&);

class DutyPolicy {
public:
    struct Options {
        InstanceId self;
        Incarnation incarnation; ///< Differs between any two starts of processes, also on different machines under one name.
        Duration lease {}; ///< See ProviderSettings::lease.
    };

    explicit DutyPolicy(Options);

    /** Takes the newest state; it may be the same as before. All times are CLOCK_BOOTTIME, which advances during a suspension. */
    void update(const DutyState&, TimePoint now);
    /** The fencing token while this process holds the duties and its permission has not run out. */
    std::optional<FencingToken> token(TimePoint now) const;
    /** The same, or nothing after the token was refused for the subject. */
    std::optional<FencingToken> tokenFor(const DutySubject&, TimePoint now) const;
    /** True if TakeDuties is due. After it was proposed, call takeProposed() and, with its result, takeAnswered(). */
    bool shouldTake(TimePoint now) const;
    void takeProposed() { m_isTaking = true; }
    void takeAnswered(TimePoint now);
    /** The provider has seen a token higher than `token` for the subject. */
    void supersede(const DutySubject&, FencingToken token, TimePoint now);

    /** How long this instance has led without interruption; zero if it does not lead. */
    Duration ledFor(TimePoint now) const;
    /** How long the state has named this process as the holder; zero if it does not. */
    Duration heldFor(TimePoint now) const { return m_heldSince ? now - *m_heldSince : Duration::zero(); }
    const DutyState& state() const { return m_state; }

private:
    bool leads(TimePoint now) const { return m_state.ledUntil && now < *m_state.ledUntil; }
    bool isHolder() const { return m_state.duties.holder == m_options.self && m_state.duties.incarnation == m_options.incarnation; }

    Options m_options;
    DutyState m_state;
    std::optional<TimePoint> m_ledSince; // Since then this instance led in one term, and its confirmation never ran out.
    std::optional<TimePoint> m_heldSince; // Set while the state names this process as the holder.
    bool m_isTaking = false; // TakeDuties was proposed and has no result.
    TimePoint m_takeAgainAt {};
    std::set<DutySubject> m_superseded; // Subjects for which the present token was refused.
    TimePoint m_retakeAt {}; // When to take a new token for these.
    TimePoint m_supersededAt {};
    Duration m_retakeDelay {};
};

} // namespace HickoryHollow
