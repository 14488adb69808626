/** \file
 * An error response: why the request failed and whether it may have run. The router makes all its error responses from it.
 */
#pragma once

#include "base/RouterError.h"
#include "base/Time.h"
#include "base/Verdict.h"
#include "http/HttpMessage.h"

#include <string>

namespace HickoryHollow {

struct Refusal {
    RouterError error = RouterError::Overloaded;
    Verdict verdict = Verdict::NotRun;
    std::string detail; ///< Names the offending value; must not contain an API key or idempotency key.
    Duration retryAfter {}; ///< When the caller should try again; zero if waiting does not help.
};

/** Body of the error response: `{"error":{"code","message","verdict"}}`. */
std::string toJson(const Refusal&);
/** The error response, with the verdict and Retry-After (whole seconds, rounded up) as header fields. */
HttpResponse toResponse(const Refusal&);

} // namespace HickoryHollow
