/** \file
 * Two kinds of failure: errors that the user can correct, and broken invariants of the program.
 */
#pragma once

#include <stdexcept>
#include <string>

namespace HickoryHollow {

/** An error that the user can correct; the text names the offending value and how to correct it. */
class UserError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/** Aborts the process if `condition`, an invariant of the program, does not hold; `what` describes the invariant. */
void internalAssert(bool condition, const char* what, const char* file = __builtin_FILE(), int line = __builtin_LINE());

} // namespace HickoryHollow
