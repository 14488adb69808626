/** \file
 * The subcommands of hickoryctl. Each prints its result to standard output or its error to standard error, and returns the
 * exit code. Those that call an instance throw UserError if no answer comes.
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
    Refused = 4, ///< The instance answered with any other error.
    Unreachable = 5, ///< No answer came from the instance, or a file could not be read.
    Conflict = 6, ///< Another change was accepted first.
    /** The replicated state is unavailable: the change may or may not be accepted. Resend it with the same change id. */
    Unknown = 7,
};

/** Paths of the files that `check` and `submit` read. An empty path leaves that file out. */
struct SettingsFiles {
    std::string daemon;
    std::string inventory;
    std::string rules;
};

struct SubmitOptions {
    SettingsFiles files;
    std::string changeId; ///< If empty, it is derived from the contents, the author and the expected version.
    std::string author; ///< Shown to an operator whose change conflicts with this one.
    long long expectedVersion = -1; ///< Version that the change is based on. Negative: the instance's active version.
};

/** Checks settings files offline, without an instance. */
ExitCode checkFiles(const SettingsFiles&);
ExitCode showStatus(const OperatorClient&, bool asJson);
ExitCode showDump(const OperatorClient&);
ExitCode showBackends(const OperatorClient&, bool asJson);
/** Who holds the singleton duties; `client` calls the metrics listener of a state instance. */
ExitCode showDuties(const OperatorClient&, bool asJson);
ExitCode showSettings(const OperatorClient&, bool asJson);
/** Checks the files offline first, then submits them. */
ExitCode submitSettings(const OperatorClient&, const SubmitOptions&, bool asJson);
/** Forms the replicated state of a new deployment. */
ExitCode formState(const OperatorClient&);

} // namespace HickoryHollow
