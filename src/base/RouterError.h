/** \file
 * The errors that a caller, an operator or a backend server can see, as a std::error_code category.
 */
#pragma once

#include <string_view>
#include <system_error>

namespace HickoryHollow {

/** Reason why the router answers with an error. The value is part of the interface. */
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
};

/** Category of RouterError. */
const std::error_category& routerErrorCategory();
/** Lets a RouterError convert to std::error_code. */
std::error_code make_error_code(RouterError); // NOLINT(readability-identifier-naming)
/** Code used in the JSON error form, for example `overloaded`. */
std::string_view codeOf(RouterError);
/** HTTP status that answers this error. */
unsigned httpStatusOf(RouterError);

} // namespace HickoryHollow

template <>
struct std::is_error_code_enum<HickoryHollow::RouterError> : std::true_type {
};
