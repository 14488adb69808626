/** \file
 * A text table with left-aligned columns, for output to a terminal.
 */
#pragma once

#include <string>
#include <vector>

namespace HickoryHollow {

class TextTable {
public:
    explicit TextTable(std::vector<std::string> header);

    /** The number of cells must be that of the header. */
    void addRow(std::vector<std::string> cells);
    /** One line a row, the header first; columns are separated by two spaces. */
    std::string toText() const;

private:
    std::vector<std::vector<std::string>> m_rows; // The header first; every row has the same number of cells.
};

} // namespace HickoryHollow
