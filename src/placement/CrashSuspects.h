/** \file
 * Finds the parts of prompts that crash every engine that answers them, from the observations of all entry instances.
 * Reads no clock.
 *
 * It answers requests that share nothing but one such part, come through every instance, and end one engine after the
 * other. A crash ends all answers of its engine, so the parts of innocent prompts are seen in crashes too. What sets the
 * guilty part apart is that no engine ever answers it: a part that was answered after its last crash is cleared, and one
 * that was answered at any time needs more crashes as proof. A sound request that many callers send may be on every server that
 * ends and be answered by none while the service starts again and again: it is not put in quarantine, or released, once a part
 * in quarantine explains all its crashes and others beside. After a quarantine the part is tried again, and the first crash
 * leads to another one of twice the length.
 */
#pragma once

#include "placement/PromptEvidence.h"

#include <optional>
#include <set>
#include <unordered_map>

namespace HickoryHollow {

class CrashSuspects {
public:
    /** A part that was put in quarantine, and the crashes that led to it. */
    struct NewQuarantine {
        PromptPartId part;
        std::size_t crashes = 0; ///< Servers that ended.
        std::uint32_t rounds = 0; ///< Crashes of requests that were sent after the crash before.
        bool wasAnswered = false; ///< Some server had answered the part before.
    };

    /** Records all observations. Returns the answers that ended a quarantine. */
    std::vector<PartAnswered> record(const PromptEvidence&, TimePoint now);
    /** Counts the crash for each part, unless a part in quarantine explains it. */
    void recordCrash(const PromptCrash&, TimePoint now);
    /** Clears the part, also from quarantine, if `answeredAt` is after its last crash. Returns true if it ended a quarantine. */
    bool recordAnswered(PromptPartId part, TimePoint answeredAt, TimePoint now);
    /** Takes over a quarantine that another instance knows of, unless the part was cleared a short time ago. */
    void addQuarantined(PromptPartId part, TimePoint now);
    /** What update() changed. */
    struct Changes {
        std::vector<NewQuarantine> quarantined;
        std::vector<PromptPartId> released; ///< Another part explains their crashes.
    };

    /** Puts parts in quarantine, releases those that others explain, and drops what is too old. Call several times per second. */
    Changes update(TimePoint now);
    /** Returns what is found at present; the parts are sorted. */
    PromptFindings findings() const;

private:
    struct Suspect {
        std::set<ServerStartId> servers {}; ///< Servers that ended.
        std::uint32_t rounds = 0; ///< See NewQuarantine::rounds.
        TimePoint lastCrashAt {};
        TimePoint suspectSince {}; ///< When the part became one to ask for; TimePoint() before.
        bool wasAnswered = false; ///< See NewQuarantine::wasAnswered.
        std::optional<TimePoint> quarantinedUntil {};
        Duration quarantineTime {}; ///< Length of the last quarantine; zero before the first.
    };

    static bool isProven(const Suspect&, TimePoint now);
    /** Returns true if whole answers to the part are to be reported. */
    static bool isSuspected(const Suspect&);
    static void quarantine(Suspect&, TimePoint now);
    /** Returns true if a part in quarantine was in all crashes of the suspect, and in more. */
    bool isExplained(const Suspect&) const;
    void dropOldest();

    std::unordered_map<PromptPartId, Suspect> m_suspects; // By part; at most maxSuspects.
    std::unordered_map<PromptPartId, TimePoint> m_cleared; // End of a quarantine by an answer, lately; by part.
};

} // namespace HickoryHollow
