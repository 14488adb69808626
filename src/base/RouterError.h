/** \file
 * The errors that the router reports to callers, operators and backend servers, as a std::error_code category.
 */
#pragma once

#include <string_view>
#include <system_error>

namespace HickoryHollow {

/** Reason for an error response. The code returned by codeOf() is part of the external interface. */
enum class RouterError {
    MalformedRequest = 1,
    UnknownPath,
    UnknownModel,
    UnknownWorkspace,
    ClassNotPermitted,
    BadDeadline,
    BodyTooLarge,
    HeaderTooLarge,
    MissingIdempotencyKey,
    KeyReusedWithOtherBody,
    KeyInProgress,
    KeyOutcomeUnknown,
    Overloaded,
    WorkspaceLimit,
    DeadlinePassed,
    NoBackend,
    Draining,
    SettingsStale,
    StateUnavailable,
    VersionConflict,
    UpstreamConnectFailed,
    UpstreamBroken,
    UpstreamMalformed,
    UpstreamTimeout,
    CallerGone,
    InvalidSettings,
    AnswerNotKept,
    SendForbidden,
    RequestQuarantined,
    StoppedWaiting,
};

/** Category of RouterError. */
const std::error_category& routerErrorCategory();
/** Lets a RouterError convert to std::error_code. */
std::error_code make_error_code(RouterError); // NOLINT(readability-identifier-naming)
/** Code used in the body of an error response, for example `overloaded`. */
std::string_view codeOf(RouterError);
/** HTTP status of a response with this error. */
unsigned httpStatusOf(RouterError);

} // namespace HickoryHollow

template <>
struct std::is_error_code_enum<HickoryHollow::RouterError> : std::true_type {
};
