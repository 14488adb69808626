/** \file
 * One entry instance's part in finding requests that crash servers: it reports crashes and whole answers, and refuses requests
 * with a part in quarantine. Parts are those of the prompt that others may share, and the request as a whole; see RequestParts.h
 * and CrashSuspects. Reads no clock.
 */
#pragma once

#include "base/Ids.h"
#include "placement/PromptEvidence.h"

#include <deque>
#include <unordered_map>
#include <unordered_set>

namespace HickoryHollow {

class PromptGuard {
public:
    /** The server, which got the request `sentFor` before, ended the connection before its answer was whole. */
    void recordCrash(const std::vector<PromptPartId>& parts, const BackendId&, Incarnation, Duration sentFor, TimePoint now);
    /** A server answered the request to the end. */
    void recordAnswered(const std::vector<PromptPartId>& parts, TimePoint now);
    /**
     * A stream goes on whose first event came at `firstEventAt`. Once it has lasted for a second, it counts as answered, and
     * true is returned.
     */
    bool recordProgress(const std::vector<PromptPartId>& parts, TimePoint firstEventAt, TimePoint now);
    /** Takes over the findings of the state instances, which replace earlier ones. */
    void apply(const PromptFindings&);
    /** Returns true if any of the parts is in quarantine. */
    bool isQuarantined(const std::vector<PromptPartId>& parts) const;
    /** Returns, and removes, the observations to report. */
    PromptEvidence takeEvidence(TimePoint now);
    /** Makes the next report include the parts in quarantine and all recent crashes, for a state instance that may not know them. */
    void reportAll();

private:
    using AnswerTimes = std::unordered_map<PromptPartId, TimePoint>;

    struct Crash {
        PromptCrash report;
        TimePoint endedAt;
    };

    std::deque<Crash> m_crashes; // Of the last minute, the oldest first; at most maxCrashes.
    std::size_t m_unreportedCrashes = 0; // The last ones of m_crashes; wait for takeEvidence().
    std::unordered_set<PromptPartId> m_dueAnswered; // Suspects that were answered and not reported since.
    // End of the last answer to each part. Both are bounded: the younger one replaces the older one when it is full.
    AnswerTimes m_answered;
    AnswerTimes m_answeredEarlier;
    std::unordered_set<PromptPartId> m_suspects;
    std::unordered_set<PromptPartId> m_quarantined;
    bool m_mustReportQuarantined = false; // At the next takeEvidence().
};

} // namespace HickoryHollow
