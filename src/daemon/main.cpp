/** \file
 * The daemon's command line.
 */
#include "base/Check.h"
#include "base/LogEvent.h"
#include "daemon/Daemon.h"
#include "settings/DaemonSettings.h"
#include "settings/FileText.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <spdlog/spdlog.h>

namespace {

constexpr int exitOk = 0;
constexpr int exitUsage = 2;
constexpr int exitSettings = 3;
constexpr int exitCut = 4;

int runDaemon(const std::string& settingsFile)
{
    HickoryHollow::Complaints complaints;
    const auto settings = HickoryHollow::parseDaemonSettings(settingsFile, HickoryHollow::readFileText(settingsFile), complaints);
    if (!settings) {
        std::cerr << toString(complaints);
        return exitSettings;
    }
    HickoryHollow::Daemon daemon(*settings);
    const auto cut = daemon.run();
    return cut == 0 ? exitOk : exitCut;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%f %v");
    cxxopts::Options options("hickoryhollowd", "Routes language-model traffic with service levels and priorities.");
    options.add_options()("settings", "INI file with the settings of this instance", cxxopts::value<std::string>())("help", "Print this text");
    options.parse_positional({ "settings" });
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0 || arguments.count("settings") == 0) {
            std::cout << options.help() << "\nExit codes: 0 drained, 2 usage, 3 settings, 4 requests were cut.\n";
            return arguments.count("help") > 0 ? exitOk : exitUsage;
        }
        return runDaemon(arguments["settings"].as<std::string>());
    } catch (const HickoryHollow::UserError& error) {
        std::cerr << error.what() << "\n";
        return exitSettings;
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "\n";
        return exitUsage;
    }
}
