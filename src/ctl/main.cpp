/** \file
 * Entry point of hickoryctl: reads the command line and runs one subcommand.
 */
#include "base/Check.h"
#include "ctl/Commands.h"
#include "ctl/OperatorClient.h"
#include "settings/FileText.h"

#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

namespace {

using namespace HickoryHollow;

constexpr const char* commandHelp = R"(
Commands:
  check      check settings offline: --daemon FILE, --inventory FILE, --rules FILE
  status     version in force, lease, drain
  dump       whole state of the process as JSON
  backends   backend servers as this instance knows them
  duties     holder of the singleton duties, windows owed; --address of the metrics listener of a state instance
  settings   inventory and rules in force
  submit     submit --inventory FILE and/or --rules FILE
  form       form the replicated state, once, when every state instance is new

The operators' key is read from --key-file or from HICKORY_OPERATOR_KEY.
Exit codes: 0 ok, 2 usage, 3 invalid settings, 4 refused, 5 no answer, 6 conflict, 7 outcome unknown.
)";

cxxopts::Options describeOptions()
{
    cxxopts::Options options("hickoryctl", "Operates hickoryhollow instances.");
    options.positional_help("COMMAND");
    auto add = options.add_options();
    add("command", "Command", cxxopts::value<std::string>());
    add("address", "Operators' address of an instance, ip:port", cxxopts::value<std::string>()->default_value("127.0.0.1:7003"));
    add("key-file", "File with the operators' key", cxxopts::value<std::string>()->default_value(""));
    add("json", "Print JSON for programs");
    add("daemon", "Settings file of a daemon", cxxopts::value<std::string>()->default_value(""));
    add("inventory", "Inventory file", cxxopts::value<std::string>()->default_value(""));
    add("rules", "Rules file", cxxopts::value<std::string>()->default_value(""));
    add("change-id", "Identifier of the change, kept over resends", cxxopts::value<std::string>()->default_value(""));
    add("author", "Name shown to whoever loses a race", cxxopts::value<std::string>()->default_value("unnamed"));
    add("expected-version", "Version that the change was made from", cxxopts::value<long long>()->default_value("-1"));
    add("help", "Print this text");
    options.parse_positional({ "command" });
    return options;
}

std::string readKey(const cxxopts::ParseResult& arguments)
{
    const auto file = arguments["key-file"].as<std::string>();
    if (file.empty()) {
        const auto* key = std::getenv("HICKORY_OPERATOR_KEY");
        return key ? key : "";
    }
    auto key = readFileText(file);
    key.erase(key.find_last_not_of(" \r\n") + 1);
    return key;
}

SettingsFiles filesOf(const cxxopts::ParseResult& arguments)
{
    return { .daemon = arguments["daemon"].as<std::string>(), .inventory = arguments["inventory"].as<std::string>(), .rules = arguments["rules"].as<std::string>() };
}

ExitCode runCommand(const std::string& command, const cxxopts::ParseResult& arguments)
{
    if (command == "check")
        return checkFiles(filesOf(arguments));
    const OperatorClient client({ .address = arguments["address"].as<std::string>(), .key = readKey(arguments) });
    const auto asJson = arguments.count("json") > 0;
    if (command == "status")
        return showStatus(client, asJson);
    if (command == "dump")
        return showDump(client);
    if (command == "backends")
        return showBackends(client, asJson);
    if (command == "duties")
        return showDuties(client, asJson);
    if (command == "settings")
        return showSettings(client, asJson);
    if (command == "form")
        return formState(client);
    if (command == "submit")
        return submitSettings(client, { .files = filesOf(arguments), .changeId = arguments["change-id"].as<std::string>(), .author = arguments["author"].as<std::string>(), .expectedVersion = arguments["expected-version"].as<long long>() }, asJson);
    std::cerr << "command `" << command << "` is unknown\n";
    return ExitCode::Usage;
}

} // namespace

int main(int argc, char** argv)
{
    auto options = describeOptions();
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0 || arguments.count("command") == 0) {
            std::cout << options.help() << commandHelp;
            return static_cast<int>(arguments.count("help") > 0 ? ExitCode::Ok : ExitCode::Usage);
        }
        return static_cast<int>(runCommand(arguments["command"].as<std::string>(), arguments));
    } catch (const UserError& error) {
        std::cerr << error.what() << "\n";
        return static_cast<int>(ExitCode::Unreachable);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "\n";
        return static_cast<int>(ExitCode::Usage);
    }
}
