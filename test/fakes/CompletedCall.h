/** \file
 * What a caller of an UpstreamClient gets, from its request to the end of the answer.
 */
#pragma once

#include "http/UpstreamClient.h"

#include <string>
#include <system_error>

namespace HickoryHollow::Fakes {

struct CompletedCall {
    std::error_code ec;
    Verdict verdict = Verdict::NotRun;
    unsigned status = 0;
    std::string body;
    bool isComplete = false;
    bool reusedConnection = false;
};

/** Sends the request and reads its answer to the end. */
inline Task<void> makeCall(UpstreamCall& call, const HttpRequest& request, CompletedCall& outcome)
{
    const auto head = co_await call.begin(request);
    outcome.ec = head.ec;
    outcome.verdict = head.verdict;
    outcome.status = head.status;
    outcome.reusedConnection = call.reusedConnection();
    while (!outcome.ec && !outcome.isComplete) {
        const auto chunk = co_await call.readChunk();
        outcome.ec = chunk.ec;
        outcome.body += chunk.bytes;
        outcome.isComplete = !chunk.ec && chunk.isLast;
    }
}

} // namespace HickoryHollow::Fakes
