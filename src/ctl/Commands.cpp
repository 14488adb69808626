#include "ctl/Commands.h"

#include "base/Digest.h"
#include "ctl/OperatorClient.h"
#include "ctl/TextTable.h"
#include "settings/DaemonSettings.h"
#include "settings/FileText.h"
#include "settings/RoutingSettings.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <iostream>

namespace HickoryHollow {

namespace json = boost::json;

namespace {

constexpr unsigned statusOk = 200;
constexpr std::size_t derivedIdLength = 16;

std::string errorCodeOf(const HttpResponse& response)
{
    json::error_code ec;
    const auto value = json::parse(response.body, ec);
    if (ec || !value.is_object() || !value.get_object().if_contains("error"))
        return {};
    const auto& error = value.get_object().at("error");
    const auto* code = error.is_object() ? error.get_object().if_contains("code") : nullptr;
    return code && code->is_string() ? std::string(code->get_string()) : std::string();
}

ExitCode reportError(const HttpResponse& response)
{
    std::cerr << response.body << "\n";
    const auto code = errorCodeOf(response);
    if (code == "version_conflict")
        return ExitCode::Conflict;
    if (code == "state_unavailable")
        return ExitCode::Unknown;
    return code == "invalid_settings" ? ExitCode::InvalidSettings : ExitCode::Refused;
}

std::string cellText(const json::value& value)
{
    return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

void printFields(const json::object& object)
{
    TextTable table({ "what", "value" });
    for (const auto& it : object)
        table.addRow({ std::string(it.key()), cellText(it.value()) });
    std::cout << table.toText();
}

} // namespace

ExitCode checkFiles(const SettingsFiles& files)
{
    Diagnostics diagnostics;
    if (!files.daemon.empty())
        parseDaemonSettings(files.daemon, readFileText(files.daemon), diagnostics);
    if (!files.inventory.empty() && !files.rules.empty()) {
        // Each file is parsed on its own first, so that a diagnostic names the file and not only the kind of text.
        const auto inventory = parseInventory(files.inventory, readFileText(files.inventory), diagnostics);
        const auto rules = parseRules(files.rules, readFileText(files.rules), diagnostics);
        if (inventory && rules)
            parseRoutingSettings({ .inventory = readFileText(files.inventory), .rules = readFileText(files.rules) }, SettingsVersion(1), diagnostics);
    } else if (!files.inventory.empty()) {
        parseInventory(files.inventory, readFileText(files.inventory), diagnostics);
    } else if (!files.rules.empty()) {
        parseRules(files.rules, readFileText(files.rules), diagnostics);
    }
    std::cerr << toString(diagnostics);
    if (!diagnostics.empty())
        return ExitCode::InvalidSettings;
    std::cout << "no fault found\n";
    return ExitCode::Ok;
}

ExitCode showStatus(const OperatorClient& client, bool asJson)
{
    const auto response = client.call("GET", "/v1/status");
    if (response.status != statusOk)
        return reportError(response);
    if (asJson)
        std::cout << response.body << "\n";
    else
        printFields(json::parse(response.body).as_object());
    return ExitCode::Ok;
}

ExitCode showDump(const OperatorClient& client)
{
    const auto response = client.call("GET", "/v1/dump");
    if (response.status != statusOk)
        return reportError(response);
    std::cout << response.body << "\n";
    return ExitCode::Ok;
}

ExitCode showBackends(const OperatorClient& client, bool asJson)
{
    const auto response = client.call("GET", "/v1/backends");
    if (response.status != statusOk)
        return reportError(response);
    if (asJson) {
        std::cout << response.body << "\n";
        return ExitCode::Ok;
    }
    TextTable table({ "backend", "state", "service", "models", "failure_domain", "slots", "home" });
    const auto dump = json::parse(response.body);
    for (const auto& it : dump.as_object().at("backends").as_array()) {
        std::vector<std::string> row;
        for (const auto* key : { "backend", "state", "service", "models", "failure_domain", "slots", "home" })
            row.push_back(cellText(it.as_object().at(key)));
        table.addRow(row);
    }
    std::cout << table.toText();
    return ExitCode::Ok;
}

ExitCode showDuties(const OperatorClient& client, bool asJson)
{
    const auto response = client.call("GET", "/duties");
    if (response.status != statusOk) {
        std::cerr << "no state instance with a provider answers at this address\n";
        return ExitCode::Refused;
    }
    if (asJson) {
        std::cout << response.body << "\n";
        return ExitCode::Ok;
    }
    TextTable table({ "holder", "token", "since_ms", "held_here", "windows_owed", "oldest_owed", "true_time_known" });
    const auto duties = json::parse(response.body);
    std::vector<std::string> row;
    for (const auto* key : { "holder", "token", "since_ms", "held_here", "windows_owed", "oldest_owed", "true_time_known" })
        row.push_back(cellText(duties.as_object().at(key)));
    table.addRow(row);
    std::cout << table.toText();
    return ExitCode::Ok;
}

ExitCode showSettings(const OperatorClient& client, bool asJson)
{
    const auto response = client.call("GET", "/v1/settings");
    if (response.status != statusOk)
        return reportError(response);
    if (asJson) {
        std::cout << response.body << "\n";
        return ExitCode::Ok;
    }
    const auto settings = json::parse(response.body).as_object();
    std::cout << fmt::format("; version {}\n; --- inventory\n{}\n; --- rules\n{}\n", cellText(settings.at("version")), cellText(settings.at("inventory")), cellText(settings.at("rules")));
    return ExitCode::Ok;
}

ExitCode submitSettings(const OperatorClient& client, const SubmitOptions& options, bool asJson)
{
    if (const auto checked = checkFiles(options.files); checked != ExitCode::Ok)
        return checked;
    auto expected = options.expectedVersion;
    if (expected < 0) {
        const auto status = client.call("GET", "/v1/status");
        if (status.status != statusOk)
            return reportError(status);
        expected = json::parse(status.body).as_object().at("settings_version").to_number<long long>();
    }
    json::object body { { "expected_version", expected }, { "author", options.author } };
    if (!options.files.inventory.empty())
        body["inventory"] = readFileText(options.files.inventory);
    if (!options.files.rules.empty())
        body["rules"] = readFileText(options.files.rules);
    const auto derivedId = sha256Hex(json::serialize(body)).substr(0, derivedIdLength);
    body["change_id"] = options.changeId.empty() ? derivedId : options.changeId;
    const auto response = client.call("POST", "/v1/settings", json::serialize(body));
    if (response.status != statusOk)
        return reportError(response);
    std::cout << (asJson ? response.body : fmt::format("accepted as version {}", cellText(json::parse(response.body).as_object().at("version")))) << "\n";
    return ExitCode::Ok;
}

ExitCode formState(const OperatorClient& client)
{
    const auto response = client.call("POST", "/v1/state/form");
    if (response.status != statusOk)
        return reportError(response);
    std::cout << "the replicated state is formed\n";
    return ExitCode::Ok;
}

} // namespace HickoryHollow
