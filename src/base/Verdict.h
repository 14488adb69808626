/** \file
 * Tells whether a request may have run on a backend server. Every failure carries one through all layers.
 */
#pragma once

#include <string_view>

namespace HickoryHollow {

/** What is known about the execution of a request or of one attempt at it. */
enum class Verdict {
    NotRun, ///< No byte reached a backend server's socket, or the backend server said that it did not start.
    MayHaveRun, ///< Bytes were sent and no complete answer came back.
    Ran, ///< A complete answer came back.
};

/** Verdict of a request from the verdicts of two of its attempts: the one that admits more execution wins. */
constexpr Verdict combine(Verdict a, Verdict b)
{
    return a < b ? b : a;
}

/** Text used in headers, errors and records: `not-run`, `may-have-run` or `ran`. */
constexpr std::string_view toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    case Verdict::Ran:
        return "ran";
    }
    return "may-have-run";
}

} // namespace HickoryHollow
