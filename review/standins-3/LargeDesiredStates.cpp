/** \file
 * A desired state that has grown by many routes is changed again and again, one change after the other, against the memory of the core.
 */
#include "Harness.h"

using namespace Review;

namespace {

constexpr int maxSeconds = 104;
constexpr int endsThatCount = 3; // RULES, "Fault".
constexpr int growths = 14;
constexpr int routesPerGrowth = 1400; // Largest dose of `big_config` in the site files.

} // namespace

int runCaseBody(Deployment& deployment, Record& record)
{
    startServer(deployment, 0, "plain", false);
    startServer(deployment, 1, "engines", true);
    DesiredState state;
    if (deployment.replaceConfig(state.text()) != 200 || !deployment.awaitReady(20))
        return exitNotRun;
    const auto begin = Clock::now();
    const auto machinesThatEnded = [&] {
        int n = 0;
        for (int i = 0; i < deployment.options().states; ++i)
            n += deployment.ends(i) >= endsThatCount ? 1 : 0;
        return n;
    };
    const auto isBroken = [&] { return 2 * machinesThatEnded() > deployment.options().states; };
    int acknowledged = 0;
    for (int change = 0; Clock::now() - begin < std::chrono::seconds(maxSeconds) && !isBroken() && change < 400; ++change) {
        ++state.version;
        // With trouble it grows with each of the first changes.
        if (hasTrouble() && change < growths)
            state.furtherRoutes += routesPerGrowth;
        const auto text = state.text();
        const auto status = deployment.replaceConfig(text);
        acknowledged += status == 200 ? 1 : 0;
        if (change % 10 == 0 || status != 200) {
            std::string peaks;
            for (int i = 0; i < deployment.options().states; ++i)
                peaks += " " + std::to_string(deployment.peakMb(i)) + "/" + std::to_string(deployment.ends(i));
            record.add("operator: version " + std::to_string(state.version) + " of " + std::to_string(text.size()) + " bytes, status " + std::to_string(status) + "; MB at most/ends of the core:" + peaks);
        }
    }
    record.add("result: " + std::to_string(acknowledged) + " changes acknowledged; on " + std::to_string(machinesThatEnded()) + " of " + std::to_string(deployment.options().states) + " core machines processes ended three times or more");
    return isBroken() ? exitBroken : (acknowledged > 100 ? exitHeld : exitNotRun);
}

int main(int argc, char** argv)
{
    return runCase(argc, argv, {}, runCaseBody);
}
