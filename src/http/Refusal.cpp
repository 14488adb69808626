#include "http/Refusal.h"

#include <boost/json.hpp>

namespace HickoryHollow {

std::string toJson(const Refusal& refusal)
{
    auto message = make_error_code(refusal.error).message();
    if (!refusal.detail.empty())
        message += ": " + refusal.detail;
    const boost::json::object error { { "code", std::string(codeOf(refusal.error)) }, { "message", message }, { "verdict", std::string(toString(refusal.verdict)) } };
    return boost::json::serialize(boost::json::object { { "error", error } });
}

HttpResponse toResponse(const Refusal& refusal)
{
    auto response = jsonResponse(httpStatusOf(refusal.error), toJson(refusal));
    response.fields.add("X-Hickory-Verdict", std::string(toString(refusal.verdict)));
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter).count();
    if (seconds > 0)
        response.fields.add("Retry-After", std::to_string(seconds));
    return response;
}

} // namespace HickoryHollow
