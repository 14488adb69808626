/** \file
 * Invalid settings are reported with file, line, section, key and the permitted values or limit.
 */
#include "node/NodeSettings.h"
#include "settings/DaemonSettings.h"
#include "settings/RoutingSettings.h"

#include <catch2/catch.hpp>

using namespace HickoryHollow;

namespace {

const std::string digest(64, 'a');

std::string daemonText()
{
    return "[instance]\nname = one\nfailure-domain = a\ninventory = i\nrules = r\n[listen]\ncallers = 127.0.0.1:1\nbackends = 127.0.0.1:2\noperators = 127.0.0.1:3\n[keys]\noperator-sha256 = " + digest + "\n";
}

std::string diagnosticsOf(const std::string& text)
{
    Diagnostics diagnostics;
    const auto settings = parseDaemonSettings("d.ini", text, diagnostics);
    CHECK(settings.has_value() == diagnostics.empty());
    return toString(diagnostics);
}

} // namespace

TEST_CASE("valid daemon settings are accepted", "[settings]")
{
    CHECK(diagnosticsOf(daemonText()).empty());
}

TEST_CASE("every error is reported with file, line, section and key", "[settings]")
{
    const auto text = diagnosticsOf(daemonText() + "[limits]\nbody-bytes = many\nbody-byte = 5\n[listne]\nx = 1\n");
    CHECK(text.find("d.ini:13: [limits] body-bytes: `many` is not a whole number from 1024 to 1073741824") != std::string::npos);
    CHECK(text.find("d.ini:14: [limits] body-byte: the key is unknown; permitted here: body-bytes") != std::string::npos);
    CHECK(text.find("[listne] the section is unknown") != std::string::npos);
}

TEST_CASE("a host name is rejected as a listen address", "[settings]")
{
    const auto text = diagnosticsOf("[instance]\nname = one\n[listen]\ncallers = localhost:1\n");
    CHECK(text.find("callers: `localhost:1` is not `ip:port`") != std::string::npos);
    CHECK(text.find("[keys] the section is missing") != std::string::npos);
    CHECK(text.find("failure-domain: the key is missing") != std::string::npos);
}

TEST_CASE("a line longer than the parser's buffer is reported and not parsed as two lines", "[settings]")
{
    const auto text = diagnosticsOf(daemonText() + "[limits]\nbody-bytes = " + std::string(300, '1') + "\n");
    CHECK(text.find("d.ini:13: the line has 313 characters; the limit is 198") != std::string::npos);
}

TEST_CASE("inventory and rules are checked against each other", "[settings]")
{
    Diagnostics diagnostics;
    const SettingsText text { .inventory = "[service s]\nmodels = m\n[workspace w]\nkey-sha256 = " + digest + "\nclasses = chat, nosuch\n", .rules = "[class chat]\ntier = 2\n[once-only]\nservices = orders\n" };
    CHECK_FALSE(parseRoutingSettings(text, SettingsVersion(1), diagnostics));
    const auto all = toString(diagnostics);
    CHECK(all.find("class `nosuch` is not in the rules") != std::string::npos);
    CHECK(all.find("service `orders` is not in the inventory") != std::string::npos);
}

TEST_CASE("a duplicate key is reported", "[settings]")
{
    Diagnostics diagnostics;
    parseRules("r.ini", "[class a]\ntier = 1\ntier = 2\n", diagnostics);
    CHECK(toString(diagnostics).find("r.ini:3: [class a] tier: the key is given twice") != std::string::npos);
}

TEST_CASE("the memory of an instance is read from its settings, and impossible values are rejected", "[settings][memory]")
{
    const std::string text = "[instance]\nname = e1\nfailure-domain = a\n[listen]\nlinks = 10.0.0.1:1\ncallers = 10.0.0.1:2\nready = 10.0.0.1:3\n[membership]\nseeds = 10.0.0.2:4\nseed-port = 5\n[limits]\n";
    const auto memoryOf = [&text](const std::string& line) -> std::size_t {
        Diagnostics diagnostics;
        const auto settings = parseNodeSettings("s.ini", text + line, diagnostics);
        CHECK(settings.has_value() == diagnostics.empty());
        return settings ? settings->memoryBytes : 0;
    };
    CHECK(memoryOf("") == 88'000'000);
    CHECK(memoryOf("memory-mb = 260\n") == 260'000'000);
    CHECK(memoryOf("memory-mb = 110.5\n") == 110'500'000);
    for (const auto* line : { "memory-mb = 0\n", "memory-mb = -1\n", "memory-mb = 31\n", "memory-mb = 1e300\n", "memory-mb = much\n", "memory = 88\n" })
        CHECK(memoryOf(line) == 0);
}
