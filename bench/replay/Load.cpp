#include "replay/Load.h"

namespace HickoryHollow::Replay {

using namespace std::chrono_literals;

// Rates, sizes and targets are those of the captions firm's sheet; bursts are those of its days of high load.
Load smallLoad()
{
    Load load { .name = "small" };
    load.kinds = {
        { .name = "draft", .perSecond = 15, .sharedTokens = 13'300, .ownTokens = 3'720, .outputTokens = 120, .firstTarget = 1500ms, .pauseTarget = 600ms, .patience = 6s, .priority = 2, .subjects = 77, .bursts = { { .fromSecond = 10, .untilSecond = 18, .factor = 2.2 } } },
        { .name = "program", .perSecond = 13, .sharedTokens = 6'300, .ownTokens = 2'890, .outputTokens = 50, .firstTarget = 600ms, .pauseTarget = 250ms, .patience = 2400ms, .priority = 1, .subjects = 70, .bursts = {} },
        { .name = "edit", .perSecond = 28, .sharedTokens = 350, .ownTokens = 1'110, .outputTokens = 170, .firstTarget = 300ms, .pauseTarget = 150ms, .patience = 2s, .priority = 0, .isInteractive = true, .subjects = 150, .bursts = { { .fromSecond = 14, .untilSecond = 20, .factor = 2 } } },
    };
    return load;
}

Load grownLoad()
{
    auto load = smallLoad();
    load.name = "grown";
    load.seconds = 20;
    load.instances = 86;
    load.engines = 90;
    for (auto& it : load.kinds) {
        it.perSecond *= 10;
        it.subjects *= 10;
    }
    load.kinds[0].bursts = { { .fromSecond = 0.5, .untilSecond = 9, .factor = 2 } };
    load.kinds[2].bursts = { { .fromSecond = 11, .untilSecond = 16, .factor = 2 } };
    load.kinds[1].hotShare = 0.05;
    load.outages = { { .fromSecond = 13, .untilSecond = 15, .firstEngine = 0, .engines = 20 } };
    return load;
}

} // namespace HickoryHollow::Replay
