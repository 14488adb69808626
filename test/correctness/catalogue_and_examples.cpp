/** \file
 * Guards against documents and examples that fall behind the code: every log event is in the catalogue with its number, and
 * every example passes the settings parsers.
 */
#include "settings/DaemonSettings.h"
#include "settings/FileText.h"
#include "settings/RoutingSettings.h"

#include <catch2/catch.hpp>
#include <regex>

using namespace HickoryHollow;

namespace {

std::string sourceFile(const std::string& path)
{
    return readFileText(std::string(HICKORY_SOURCE_FOLDER) + "/" + path);
}

} // namespace

TEST_CASE("every log event is in the catalogue with its number", "[docs]")
{
    const auto header = sourceFile("src/base/LogEvent.h");
    const auto catalogue = sourceFile("docs/events.md");
    const std::regex enumerator("    (\\w+) = (\\d{4}),");
    int events = 0;
    for (std::sregex_iterator it(header.begin(), header.end(), enumerator); it != std::sregex_iterator(); ++it, ++events) {
        const auto row = "| " + (*it)[2].str() + " | " + (*it)[1].str() + " |";
        CAPTURE(row);
        CHECK(catalogue.find(row) != std::string::npos);
    }
    CHECK(events > 20);
}

TEST_CASE("inventory and rules of every example are valid", "[settings]")
{
    const auto* firm = GENERATE("quickstart", "zema", "yankov");
    CAPTURE(firm);
    const auto folder = std::string("examples/") + firm;
    Diagnostics diagnostics;
    const auto settings = parseRoutingSettings({ .inventory = sourceFile(folder + "/inventory.ini"), .rules = sourceFile(folder + "/rules.ini") }, SettingsVersion(1), diagnostics);
    CAPTURE(toString(diagnostics));
    CHECK(settings);
}

TEST_CASE("the quickstart's daemon settings are valid", "[settings]")
{
    Diagnostics diagnostics;
    CHECK(parseDaemonSettings("daemon.ini", sourceFile("examples/quickstart/daemon.ini"), diagnostics));
}
