/** \file
 * Entry point of hickoryhollowd: reads the settings file and runs the daemon.
 */
#include "base/LogEvent.h"
#include "base/MemoryPolicy.h"
#include "daemon/Daemon.h"
#include "settings/DaemonCommandLine.h"
#include "settings/DaemonSettings.h"
#include "settings/FileText.h"

#include <csignal>
#include <iostream>
#include <spdlog/spdlog.h>

namespace {

int runDaemon(const std::string& settingsFile)
{
    HickoryHollow::Diagnostics diagnostics;
    const auto settings = HickoryHollow::parseDaemonSettings(settingsFile, HickoryHollow::readFileText(settingsFile), diagnostics);
    if (!settings) {
        std::cerr << toString(diagnostics);
        return HickoryHollow::exitSettings;
    }
    HickoryHollow::Daemon daemon(*settings);
    const auto abortedRequests = daemon.run();
    return abortedRequests == 0 ? HickoryHollow::exitOk : HickoryHollow::exitRequestsAborted;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    HickoryHollow::returnFreedMemory();
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%f %v");
    return HickoryHollow::runDaemonCommand(argc, argv, { .name = "hickoryhollowd", .purpose = "Routes language-model traffic with service levels and priorities." }, runDaemon);
}
