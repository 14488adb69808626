/** \file
 * The body of a server's answer while it arrives. All memory that it takes is counted: the capacity of its buffer, and the second
 * buffer that exists for a moment when the first one is too small.
 */
#pragma once

#include "http/BufferBudget.h"

#include <string>
#include <string_view>

namespace HickoryHollow {

class HeldAnswer {
public:
    /**
     * The budget outlives the answer. `length` is that of the whole body if the server said so; 0 otherwise. `withdrawn` is called if
     * the answer is given up for a smaller one before take(); without it, it never is.
     */
    HeldAnswer(BufferBudget&, std::size_t length, const BufferBudget::Share::OnWithdrawn& withdrawn = {});

    /** Appends bytes. Returns false if there is no memory for them. */
    bool append(std::string_view);
    /** Moves the body out. Its memory remains counted until the destruction of this object. */
    std::string take();
    /** True if the answer was given up for a smaller one. */
    bool isWithdrawn() const { return m_share.isWithdrawn(); }

private:
    bool grow(std::size_t size);

    BufferBudget::Share m_share;
    std::string m_text;
    std::size_t m_length; // What the server announced; it may send less or more.
};

} // namespace HickoryHollow
