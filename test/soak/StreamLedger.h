/** \file
 * What the stand-in servers of the part `streams` wrote and what its callers got, and the checks that compare both: each stream
 * piece by piece, cuts by cause, runs for one attempt, and servers that were left late.
 */
#pragma once

#include "soak/GuaranteeChecker.h"

#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace HickoryHollow::Soak {

constexpr int piecesPerStream = 16;

/** The text of a piece; `number` counts from 1, and `bytes` is a least size. */
std::string streamPiece(const std::string& stream, const std::string& version, int number, std::size_t bytes);

/** How a server's run ended. */
enum class RunEnd {
    Running,
    Whole, ///< The server wrote the last piece and a proper end.
    BrokenOff, ///< The server crashed or broke its answer off.
    Left, ///< The connection was closed from the other side.
};

/** One attempt of a caller, in general of several for a stream. */
struct StreamTry {
    std::string attempt; ///< Its Attempt-Id.
    int entry = 0;
    int after = 0; ///< Number of the last piece that the caller had and kept; 0 for a new stream.
    int dropped = 0; ///< Pieces behind that one that the caller had too, and wants again.
    int maxAttempts = 0; ///< Of its route.
    std::chrono::milliseconds limit {}; ///< The shortest time limit that applied.
    Clock::time_point sentAt {};
    Clock::time_point endedAt {};
    unsigned status = 0; ///< 0 if no complete answer came.
    bool hasHead = false; ///< A status was received.
    bool wasLeft = false; ///< The caller read no further.
    std::string body;
};

/** Thread-safe. Times are those at which this process noticed something. */
class StreamLedger {
public:
    /** Returns the number of the run. `start` names the server's start; `isNewVersion`: it came back as another version a short while ago. */
    std::size_t beginRun(const std::string& attempt, const std::string& start, const std::string& version, bool isNewVersion, int after);
    /** A server runs, or was announced, for the first time since this start. */
    void recordStart(const std::string& start);
    void recordAnnounced(const std::string& start);
    void recordWritten(std::size_t run, int piece);
    /** The run's answer has neither a length nor chunks. */
    void recordUnframed(std::size_t run);
    /** The run is silent for so long from now on. */
    void recordSilence(std::size_t run, std::chrono::milliseconds);
    /** Only the first end of a run counts. */
    void recordEnd(std::size_t run, RunEnd);
    /** A server answered the attempt that it does not run it. */
    void recordRefusal(const std::string& attempt, const std::string& start, unsigned status);
    /** A stream of a caller has ended or was given up; `bytes` is the least size of its pieces. */
    void recordStream(const std::string& stream, std::size_t bytes, std::vector<StreamTry>);
    /** The entry instance is paused, or its stop excuses cuts, from this time on. Call endDisturbance() when it runs again. */
    void beginDisturbance(int entry, Clock::time_point from);
    void endDisturbance(int entry);
    /** An event loop of this process ran so late, which tells how busy the machine is. */
    void recordLateness(std::chrono::milliseconds);
    /** A configuration was sent and acknowledged at these times. */
    void recordConfiguration(Clock::time_point sentAt, Clock::time_point acknowledgedAt);

    /** Tells whether a try was passed on through another entry instance. */
    using IsRelayed = std::function<bool(const StreamTry&, int)>;
    /**
     * Checks all streams after the last one has ended and prints the counts. Returns the attempts whose streams were cut without
     * an excuse or are out of order, with the number of the entry instance.
     */
    std::vector<std::pair<std::string, int>> check(GuaranteeChecker&, const IsRelayed&) const;

private:
    using Span = std::pair<Clock::time_point, Clock::time_point>;
    struct Run {
        std::string attempt;
        std::string start;
        std::string version;
        bool isNewVersion = false;
        bool isUnframed = false;
        int after = 0;
        int written = 0;
        std::vector<std::pair<Clock::time_point, std::chrono::milliseconds>> silences;
        Clock::time_point beganAt {};
        Clock::time_point endedAt {};
        RunEnd end = RunEnd::Running;
    };
    struct Stream {
        std::size_t bytes = 0;
        std::vector<StreamTry> tries;
    };
    struct Counts;

    /** What is wrong with the stream's pieces, or nothing. */
    static std::optional<std::string> findFault(const std::string& name, const Stream&);
    /** Why the stream of a try was cut; the cause begins with `!` if it has no excuse. */
    std::string causeOfCut(const StreamTry&, const IsRelayed&) const;
    bool isDisturbed(int entry, Clock::time_point from, Clock::time_point until) const;
    bool isBesideConfiguration(const StreamTry&) const;
    void checkRuns(const std::string& name, const Stream&, Counts&, GuaranteeChecker&) const;
    std::vector<const Run*> runsOf(const std::string& attempt) const;
    /** All that servers and caller noted about the stream. */
    std::string describe(const std::string& name, const Stream&) const;

    mutable std::mutex m_mutex; // Guards all below.
    std::vector<Run> m_runs;
    std::multimap<std::string, std::size_t> m_runsByAttempt;
    std::multimap<std::string, std::string> m_refusals; // By attempt.
    std::map<std::string, Clock::time_point> m_starts; // By the start's name.
    std::map<std::string, Clock::time_point> m_announcements; // The first one that was acknowledged, by the start's name.
    std::map<std::string, Stream> m_streams;
    std::multimap<int, Span> m_disturbances; // By entry instance; the end is the largest time while it lasts.
    std::vector<Span> m_configurations; // From the sending to the end of the time that the users' rule counts.
    std::chrono::milliseconds m_lateness {}; // The largest.
    Clock::time_point m_startedAt = Clock::now();
};

} // namespace HickoryHollow::Soak
