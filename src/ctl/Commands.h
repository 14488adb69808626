/** \file
 * The subcommands of hickoryctl. Each prints its result and returns the exit code.
 */
#pragma once

#include <string>

namespace HickoryHollow {

class OperatorClient;

/** Exit codes of hickoryctl, documented in docs/operators/hickoryctl.md. */
enum class ExitCode {
    Ok = 0,
    Usage = 2,
    InvalidSettings = 3,
    Refused = 4, ///< The instance answered with an error.
    Unreachable = 5, ///< No answer came.
    Conflict = 6, ///< Another change was accepted first.
    Unknown = 7, ///< The outcome of a change is not known; resend it with the same change id.
};

/** Files that `check` and `submit` read; empty ones are left out. */
struct SettingsFiles {
    std::string daemon;
    std::string inventory;
    std::string rules;
};

struct SubmitOptions {
    SettingsFiles files;
    std::string changeId; ///< Empty: one is made from the contents and the expected version.
    std::string author;
    long long expectedVersion = -1; ///< Negative: the version that the instance has in force.
};

ExitCode checkFiles(const SettingsFiles&);
ExitCode showStatus(const OperatorClient&, bool asJson);
ExitCode showDump(const OperatorClient&);
ExitCode showBackends(const OperatorClient&, bool asJson);
ExitCode showSettings(const OperatorClient&, bool asJson);
ExitCode submitSettings(const OperatorClient&, const SubmitOptions&, bool asJson);
ExitCode formState(const OperatorClient&);

} // namespace HickoryHollow
