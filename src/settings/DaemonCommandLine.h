/** \file
 * The command line that every daemon has: one settings file, help, and the exit codes.
 */
#pragma once

#include <functional>
#include <string>

namespace HickoryHollow {

constexpr int exitOk = 0;
constexpr int exitUsage = 2;
constexpr int exitSettings = 3;
constexpr int exitCut = 4; // A drain cut requests.

struct DaemonDescription {
    std::string name;
    std::string purpose;
};

/** Calls `run` with the settings file; UserError and wrong usage become a message and an exit code. */
int runDaemonCommand(int argc, char** argv, const DaemonDescription&, const std::function<int(const std::string& settingsFile)>& run);

} // namespace HickoryHollow
