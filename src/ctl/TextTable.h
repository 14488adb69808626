/** \file
 * Rows of text in aligned columns.
 */
#pragma once

#include <string>
#include <vector>

namespace HickoryHollow {

class TextTable {
public:
    explicit TextTable(std::vector<std::string> head);

    /** `cells` has as many cells as the head. */
    void addRow(std::vector<std::string> cells);
    std::string toText() const;

private:
    std::vector<std::vector<std::string>> m_rows; // The head first; all of one length.
};

} // namespace HickoryHollow
