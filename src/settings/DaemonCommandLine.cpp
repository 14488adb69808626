#include "settings/DaemonCommandLine.h"

#include "base/Check.h"

#include <cxxopts.hpp>
#include <iostream>

namespace HickoryHollow {

int runDaemonCommand(int argc, char** argv, const DaemonDescription& description, const std::function<int(const std::string& settingsFile)>& run)
{
    cxxopts::Options options(description.name, description.purpose);
    options.add_options()("settings", "INI file with the settings of this instance", cxxopts::value<std::string>())("help", "Print this text");
    options.parse_positional({ "settings" });
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0 || arguments.count("settings") == 0) {
            std::cout << options.help() << "\nExit codes: 0 drained, 2 usage, 3 settings, 4 drain aborted requests.\n";
            return arguments.count("help") > 0 ? exitOk : exitUsage;
        }
        return run(arguments["settings"].as<std::string>());
    } catch (const UserError& error) {
        std::cerr << error.what() << "\n";
        return exitSettings;
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "\n";
        return exitUsage;
    }
}

} // namespace HickoryHollow
