/** \file
 * Command line shared by all daemons: one settings file, `--help`, and the exit codes.
 */
#pragma once

#include <functional>
#include <string>

namespace HickoryHollow {

constexpr int exitOk = 0; ///< The daemon drained completely.
constexpr int exitUsage = 2; ///< The command line is invalid.
constexpr int exitSettings = 3; ///< The settings are invalid or cannot be read.
constexpr int exitRequestsAborted = 4; ///< The drain ended with requests still running; they were aborted.

struct DaemonDescription {
    std::string name; ///< Program name shown by `--help`.
    std::string purpose; ///< One sentence shown by `--help`.
};

/**
 * Parses the command line, calls `run` with the path of the settings file and returns its exit code.
 * Invalid usage and a UserError from `run` are printed to standard error and become an exit code.
 */
int runDaemonCommand(int argc, char** argv, const DaemonDescription&, const std::function<int(const std::string& settingsFile)>& run);

} // namespace HickoryHollow
