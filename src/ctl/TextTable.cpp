#include "ctl/TextTable.h"

#include "base/Check.h"

#include <algorithm>
#include <fmt/format.h>

namespace HickoryHollow {

TextTable::TextTable(std::vector<std::string> header)
{
    m_rows.push_back(std::move(header));
}

void TextTable::addRow(std::vector<std::string> cells)
{
    internalAssert(cells.size() == m_rows.front().size(), "a row has as many cells as the header");
    m_rows.push_back(std::move(cells));
}

std::string TextTable::toText() const
{
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (const auto& row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const auto& row : m_rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += fmt::format("{:<{}}  ", row[i], widths[i]);
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace HickoryHollow
