/** \file
 * Why a request is not answered, and whether it may have run. Every error that a caller sees is made from one.
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
    std::string detail; ///< Names the offending thing; never a key.
    Duration retryAfter {}; ///< Zero where waiting does not help.
};

/** `{"error":{"code","message","verdict"}}`. */
std::string toJson(const Refusal&);
/** The error form as a response, with verdict and Retry-After as header fields. */
HttpResponse toResponse(const Refusal&);

} // namespace HickoryHollow
