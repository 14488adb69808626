#include "base/RouterError.h"

#include <array>
#include <string>

namespace HickoryHollow {

namespace {

struct ErrorRow {
    RouterError error;
    std::string_view code;
    unsigned httpStatus;
    std::string_view text;
};

constexpr std::array errorRows {
    ErrorRow { RouterError::MalformedRequest, "malformed_request", 400, "the request is malformed" },
    ErrorRow { RouterError::UnknownPath, "unknown_path", 404, "no service has a route for this path" },
    ErrorRow { RouterError::UnknownModel, "unknown_model", 404, "the inventory does not contain this model" },
    ErrorRow { RouterError::UnknownWorkspace, "unknown_workspace", 401, "the API key belongs to no workspace" },
    ErrorRow { RouterError::ClassNotPermitted, "class_not_permitted", 403, "the workspace is not permitted to use this class" },
    ErrorRow { RouterError::BadDeadline, "bad_deadline", 400, "the deadline is not a valid number of milliseconds" },
    ErrorRow { RouterError::BodyTooLarge, "body_too_large", 413, "the request body exceeds the size limit" },
    ErrorRow { RouterError::HeaderTooLarge, "header_too_large", 431, "the request header exceeds the size limit" },
    ErrorRow { RouterError::MissingIdempotencyKey, "missing_idempotency_key", 400, "this service requires an Idempotency-Key" },
    ErrorRow { RouterError::KeyReusedWithOtherBody, "key_reused", 422, "the Idempotency-Key was already used with a different body" },
    ErrorRow { RouterError::KeyInProgress, "key_in_progress", 409, "a request with this Idempotency-Key is in progress" },
    ErrorRow { RouterError::KeyOutcomeUnknown, "outcome_unknown", 409, "an earlier request with this Idempotency-Key may have run; its outcome is unknown" },
    ErrorRow { RouterError::Overloaded, "overloaded", 503, "the queue is full for this class" },
    ErrorRow { RouterError::WorkspaceLimit, "workspace_limit", 429, "the workspace has reached its limit" },
    ErrorRow { RouterError::DeadlinePassed, "deadline_passed", 504, "the deadline passed or cannot be met" },
    ErrorRow { RouterError::NoBackend, "no_backend", 503, "no available backend server serves this model or service" },
    ErrorRow { RouterError::Draining, "draining", 503, "this instance is shutting down" },
    ErrorRow { RouterError::SettingsStale, "settings_stale", 503, "this instance cannot confirm that its settings are the active ones" },
    ErrorRow { RouterError::StateUnavailable, "state_unavailable", 503, "no leader of the replicated state is reachable" },
    ErrorRow { RouterError::VersionConflict, "version_conflict", 409, "another change was accepted first" },
    ErrorRow { RouterError::UpstreamConnectFailed, "upstream_connect_failed", 502, "connecting to the backend server failed" },
    ErrorRow { RouterError::UpstreamBroken, "upstream_broken", 502, "the response of the backend server ended before it was complete" },
    ErrorRow { RouterError::UpstreamMalformed, "upstream_malformed", 502, "the response of the backend server is malformed" },
    ErrorRow { RouterError::UpstreamTimeout, "upstream_timeout", 504, "the backend server did not respond in time" },
    ErrorRow { RouterError::CallerGone, "caller_gone", 499, "the caller closed the connection before the response was complete" },
    ErrorRow { RouterError::InvalidSettings, "invalid_settings", 400, "the settings are invalid" },
    ErrorRow { RouterError::AnswerNotKept, "answer_not_kept", 409, "the request ran, but its response was too large to record" },
    ErrorRow { RouterError::SendForbidden, "send_forbidden", 503, "the request must not be sent any more" },
    ErrorRow { RouterError::RequestQuarantined, "request_quarantined", 503, "requests like this one crashed several backend servers" },
    ErrorRow { RouterError::StoppedWaiting, "stopped_waiting", 504, "this instance shut down before the backend server had answered" },
};

const ErrorRow& rowOf(RouterError error)
{
    return errorRows.at(static_cast<std::size_t>(error) - 1);
}

class RouterErrorCategory final : public std::error_category {
public:
    const char* name() const noexcept override { return "hickoryhollow"; }
    std::string message(int value) const override { return std::string(rowOf(static_cast<RouterError>(value)).text); }
};

} // namespace

const std::error_category& routerErrorCategory()
{
    static const RouterErrorCategory category;
    return category;
}

std::error_code make_error_code(RouterError error)
{
    return { static_cast<int>(error), routerErrorCategory() };
}

std::string_view codeOf(RouterError error)
{
    return rowOf(error).code;
}

unsigned httpStatusOf(RouterError error)
{
    return rowOf(error).httpStatus;
}

} // namespace HickoryHollow
