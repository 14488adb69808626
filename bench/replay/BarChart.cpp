#include "replay/BarChart.h"

#include <array>
#include <fmt/format.h>

namespace HickoryHollow::Replay {

namespace {

constexpr int labelWidth = 190; // All lengths are in pixels.
constexpr int barWidth = 400; // Length of a bar for a share of 1.
constexpr int barHeight = 9;
constexpr int rowGap = 8;
constexpr int titleHeight = 50;
constexpr std::array<const char*, 4> colours { "#4878a8", "#d08040", "#60a060", "#a05080" };

} // namespace

std::string drawBars(const std::string& title, const std::vector<BarRow>& rows)
{
    std::string body;
    auto y = titleHeight;
    for (const auto& row : rows) {
        const auto height = static_cast<int>(row.bars.size()) * barHeight;
        body += fmt::format("<text x=\"{}\" y=\"{}\" text-anchor=\"end\">{}</text>\n", labelWidth - 8, y + height / 2 + 4, row.name);
        for (std::size_t i = 0; i < row.bars.size(); ++i) {
            const auto share = row.bars[i].second;
            const auto top = y + static_cast<int>(i) * barHeight;
            body += fmt::format("<rect x=\"{}\" y=\"{}\" width=\"{:.1f}\" height=\"{}\" fill=\"{}\"/>\n", labelWidth, top, share * barWidth, barHeight - 1, colours[i % colours.size()]);
            body += fmt::format("<text x=\"{:.1f}\" y=\"{}\" font-size=\"8\">{:.1f}</text>\n", labelWidth + share * barWidth + 4, top + barHeight - 2, 100 * share);
        }
        y += height + rowGap;
    }
    std::string legend;
    for (std::size_t i = 0; !rows.empty() && i < rows.front().bars.size(); ++i)
        legend += fmt::format("<text x=\"{}\" y=\"38\" fill=\"{}\">{}</text>\n", labelWidth + static_cast<int>(i) * 90, colours[i % colours.size()], rows.front().bars[i].first);
    return fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n<text x=\"8\" y=\"20\" font-size=\"14\">{} (of 100)</text>\n{}{}</svg>\n", labelWidth + barWidth + 60, y, title, legend, body);
}

} // namespace HickoryHollow::Replay
