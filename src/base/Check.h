/** \file
 * Keeps mistakes of the user apart from broken invariants of our own.
 */
#pragma once

#include <stdexcept>
#include <string>

namespace HickoryHollow {

/** A mistake that the user can mend; the text names the offending thing and a way out. */
class UserError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/** Ends the process when an invariant of the program does not hold. */
void internalAssert(bool condition, const char* what, const char* file = __builtin_FILE(), int line = __builtin_LINE());

} // namespace HickoryHollow
