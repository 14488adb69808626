/** \file
 * Draws the outcomes of a replay as a bar chart in SVG.
 */
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace HickoryHollow::Replay {

struct BarRow {
    std::string name; ///< Label of the row.
    std::vector<std::pair<std::string, double>> bars; ///< Name and length of each bar; the length is a share from 0 to 1.
};

/** Returns the chart as an SVG document. Every row must have the same bars in the same order. */
std::string drawBars(const std::string& title, const std::vector<BarRow>&);

} // namespace HickoryHollow::Replay
