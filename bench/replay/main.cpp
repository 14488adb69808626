/** \file
 * hickory-replay: plays the loads of the two firms against the product's decisions, the product with one decision taken
 * away, and plain ways, on a model of the engines. Prints a table a load and writes it as a picture.
 */
#include "replay/Picture.h"
#include "replay/Policy.h"
#include "replay/Replay.h"

#include <cstdlib>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iostream>

using namespace HickoryHollow;
using namespace HickoryHollow::Replay;

namespace {

constexpr double million = 1e6;

Row rowOf(const std::string& name, const Outcome& outcome)
{
    Row row { .name = name, .bars = {} };
    for (const auto& [kind, it] : outcome.kinds)
        row.bars.emplace_back(kind, it.shareInTarget());
    return row;
}

void print(const std::string& name, const Outcome& outcome)
{
    std::cout << fmt::format("{:24} {:7.1f}", name, 100 * outcome.shareInTarget());
    for (const auto& [kind, it] : outcome.kinds)
        std::cout << fmt::format(" {:9.1f} {:5.1f}", 100 * it.shareInTarget(), 100.0 * static_cast<double>(it.refused) / static_cast<double>(it.asked));
    std::cout << fmt::format(" {:8.2f} {:8.2f}\n", static_cast<double>(outcome.tokensRead) / million, static_cast<double>(outcome.tokensReread) / million);
}

void printHead(const Load& load)
{
    std::cout << fmt::format("\n{}: {} instances, {} engines, {} s, seed {}\n{:24} {:>7}", load.name, load.instances, load.engines, load.seconds, load.seed, "in target, of 100", "all");
    std::map<std::string, int> names;
    for (const auto& it : load.kinds)
        names[it.name] = 0;
    for (const auto& [name, unused] : names)
        std::cout << fmt::format(" {:>9} {:>5}", name, "ref.");
    std::cout << fmt::format(" {:>8} {:>8}\n", "M read", "M again");
}

void play(const Load& load, const std::string& only, const std::string& pictures)
{
    printHead(load);
    std::vector<Row> rows;
    for (const auto& name : policyNames()) {
        if (!only.empty() && name != only)
            continue;
        const auto outcome = replay(load, name);
        print(name, outcome);
        rows.push_back(rowOf(name, outcome));
    }
    if (only.empty()) {
        const auto bound = replay(load, "product", true);
        print("product that sees all", bound);
        rows.push_back(rowOf("product that sees all", bound));
    }
    if (!pictures.empty())
        std::ofstream(pictures + "/replay-" + load.name + ".svg") << drawBars("Requests in target, " + load.name + " fleet", rows);
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("hickory-replay", "Replays two loads against the decisions on placement, waiting and refusals.");
    options.add_options()("seed", "Of the load", cxxopts::value<std::uint64_t>()->default_value("1"))("load", "small or grown; both by default", cxxopts::value<std::string>()->default_value(""))("policy", "One of them only", cxxopts::value<std::string>()->default_value(""))("pictures", "Folder for the pictures", cxxopts::value<std::string>()->default_value(""))("help", "Shows this");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        const auto policy = arguments["policy"].as<std::string>();
        if (!policy.empty() && !makePolicy({ .name = policy, .engine = {} })) {
            std::cerr << fmt::format("hickory-replay: policy \"{}\" does not exist; there are {}\n", policy, fmt::join(policyNames(), ", "));
            return EXIT_FAILURE;
        }
        for (auto load : { smallLoad(), grownLoad() }) {
            const auto wanted = arguments["load"].as<std::string>();
            load.seed = arguments["seed"].as<std::uint64_t>();
            if (wanted.empty() || wanted == load.name)
                play(load, policy, arguments["pictures"].as<std::string>());
        }
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << fmt::format("hickory-replay: {}\n", error.what());
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
