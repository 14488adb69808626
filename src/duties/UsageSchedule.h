/** \file
 * Decides which window of usage is fixed in the replicated log next and which report is sent next: the oldest first, with few calls
 * in progress. Does no I/O and reads no clock. One window ends every few seconds; after an hour without the provider, 720 are owed.
 */
#pragma once

#include "base/Time.h"
#include "duties/ProviderApi.h"
#include "ledger/SharedState.h"

#include <memory>
#include <optional>
#include <set>

namespace HickoryHollow {

class UsageSchedule {
public:
    struct Options {
        Duration windowLength = std::chrono::seconds(5); ///< See ProviderSettings::usageWindow.
        Duration delay = std::chrono::seconds(10); ///< See ProviderSettings::usageDelay.
        std::size_t maxCalls = 2; ///< In progress at a time; a provider that is silent holds no more.
    };

    using UsageState = std::shared_ptr<const SharedState::Usage>;
    /** Time since the start of 1970, see UsageSource::trueTime. */
    using TrueTime = std::chrono::milliseconds;

    /** A window to be fixed. */
    struct Fix {
        UsageWindow window;
        bool isStart = false; ///< Reports are owed from the next window on. Its counts are empty.
        std::uint64_t skipped = 0; ///< Windows before it that are too old to be reported.
    };

    struct Owed {
        std::size_t windows = 0; ///< Fixed and not acknowledged.
        UsageWindow oldest; ///< Of these.
        Duration overdue {}; ///< Time since the oldest was due; negative before that.
    };

    explicit UsageSchedule(Options);

    /** Takes the newest state of the ledger; not null. */
    void update(UsageState);

    /**
     * The next window to fix, oldest first; nothing while none is due or the result of the last fix() is awaited. If none was ever
     * fixed, reports are owed from the window on in which the duties were taken, `heldFor` ago: true time may be known only later.
     */
    std::optional<Fix> nextFix(TrueTime now, Duration heldFor = {}) const;
    void fixProposed() { m_isFixing = true; }
    void fixAnswered() { m_isFixing = false; }

    /** The next report to send; it counts as a call in progress until its outcome is passed to finish(). */
    std::optional<UsageCounts> startNext(TimePoint now);
    /** Returns true if the report was acknowledged for the first time. */
    bool finish(UsageWindow, ProviderOutcome, TimePoint now);

    /** The next acknowledged window that the ledger does not know as such; nothing while the result of the last one is awaited. */
    std::optional<UsageWindow> nextToRecord() const;
    void recordProposed() { m_isRecording = true; }
    void recordAnswered() { m_isRecording = false; }

    Owed owed(TrueTime) const;
    /** How often the report for the window was sent by this process since it was first sent. */
    std::size_t attempts(UsageWindow) const;
    /** End of the window in true time. */
    TrueTime endOf(UsageWindow) const;

private:
    Options m_options;
    UsageState m_usage;
    bool m_isFixing = false;
    bool m_isRecording = false;
    std::set<UsageWindow> m_inProgress;
    std::set<UsageWindow> m_acknowledged; // Still among the unsent ones of m_usage.
    std::map<UsageWindow, std::size_t> m_attempts; // Of windows among the unsent ones of m_usage.
    TimePoint m_nextCallAt {}; // After a call without success.
    Duration m_pause {}; // Grows with each further one.
};

} // namespace HickoryHollow
