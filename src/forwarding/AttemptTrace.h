/** \file
 * The attempts of one request in order, for the log line of a stream that was cut or went on elsewhere: where each was made,
 * after which event it began, which one it brought first, and why it ended. Reads no clock.
 */
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace HickoryHollow {

class AttemptTrace {
public:
    /** Number of an attempt, counted from 0. */
    using Index = std::size_t;

    /** An attempt at `target` begins. `after` is the id of the last event that it is not to bring again. */
    Index begin(std::string_view target, std::optional<std::uint64_t> after, TimePoint now);
    /**
     * The attempt is answered. `isUnframed`: the answer has neither a length nor chunks. `ranFor`: how long the target is known to have
     * run without an end.
     */
    void recordAnswer(Index, bool isUnframed, std::optional<Duration> ranFor);
    /** The attempt has brought `events` events so far, the first of them with the id `first`. */
    void recordEvents(Index, std::optional<std::uint64_t> first, std::uint64_t events);
    /** Ends the attempt. `cause` outlives the trace. */
    void end(Index, std::string_view cause, TimePoint now);

    /** Number of attempts begun. */
    std::size_t size() const { return m_size; }
    /**
     * `target/cause/after/first/events/milliseconds/framing/run` of each attempt, separated by commas; `-` for what does not exist.
     * `framing` is `framed` or `unframed`, `run` the milliseconds that the target was known to have run at its answer.
     */
    std::string toText() const;

private:
    static constexpr std::size_t maxKept = 12;

    struct Attempt {
        std::string target;
        std::optional<std::uint64_t> after;
        std::optional<std::uint64_t> first;
        std::uint64_t events = 0;
        TimePoint begunAt {};
        Duration took {};
        std::optional<bool> isUnframed; // Nothing without an answer.
        std::optional<Duration> ranFor;
        std::string_view cause = "unfinished";
    };

    std::vector<Attempt> m_attempts; // The first of them, at most maxKept.
    std::size_t m_size = 0;
};

} // namespace HickoryHollow
