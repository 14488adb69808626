/** \file
 * Draws outcomes of a replay as bars, in SVG.
 */
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace HickoryHollow::Replay {

struct Row {
    std::string name;
    std::vector<std::pair<std::string, double>> bars; ///< What is measured, and its share from 0 to 1.
};

/** Every row has the same bars in the same order. */
std::string drawBars(const std::string& title, const std::vector<Row>&);

} // namespace HickoryHollow::Replay
