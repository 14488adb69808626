/** \file
 * The verdict: whether a request may have run on a backend server. Every failure carries a verdict through all layers.
 */
#pragma once

#include <string_view>

namespace HickoryHollow {

/** What is known about the execution of a request or of one attempt at it. */
enum class Verdict {
    NotRun, ///< No byte was sent to a backend server, or the backend server stated that it did not start the request.
    MayHaveRun, ///< Bytes were sent and no complete response was received.
    Ran, ///< A complete response was received.
};

/** Combined verdict of two attempts at one request: the later enumerator, because any attempt may have run it. */
constexpr Verdict combine(Verdict a, Verdict b)
{
    return a < b ? b : a;
}

/** Text used in header fields, error bodies and records: `not-run`, `may-have-run` or `ran`. */
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
