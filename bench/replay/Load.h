/** \file
 * The load that is replayed: kinds of requests with their rates, bursts and targets, and what the engines suffer meanwhile.
 */
#pragma once

#include "base/Time.h"
#include "replay/EngineModel.h"

#include <cstdint>
#include <string>
#include <vector>

namespace HickoryHollow::Replay {

/** For a while requests come `factor` times as often. */
struct Burst {
    double fromSecond = 0;
    double untilSecond = 0;
    double factor = 1;
};

struct Kind {
    std::string name;
    double perSecond = 0;
    std::uint32_t sharedTokens = 0; ///< Of the prompt; the same for all requests on a subject.
    std::uint32_t ownTokens = 0;
    std::uint32_t outputTokens = 0;
    Duration firstTarget {};
    Duration pauseTarget {};
    Duration patience {}; ///< Of the caller, for the first piece.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    bool isInteractive = false;
    std::uint32_t subjects = 1;
    double hotShare = 0; ///< Of the requests that are on one and the same subject.
    std::vector<Burst> bursts;
};

/** Engines that do nothing for a while and have forgotten all after it. */
struct Outage {
    double fromSecond = 0;
    double untilSecond = 0;
    std::uint32_t firstEngine = 0;
    std::uint32_t engines = 0;
};

struct Load {
    std::string name;
    double seconds = 30;
    std::uint32_t instances = 8;
    std::uint32_t engines = 9;
    EngineOptions engine;
    std::vector<Kind> kinds;
    std::vector<Outage> outages;
    double slowShare = 0.15; ///< Of an engine's time in which its steps take longer.
    double slowFactor = 2.5;
    std::uint64_t seed = 1;
};

/** The loads of the two firms: a small fleet, and the grown one, each with a burst of drafts and one of edits. */
Load smallLoad();
Load grownLoad();

} // namespace HickoryHollow::Replay
