/** \file
 * Settings of the C library's allocator for processes with little memory.
 */
#pragma once

namespace HickoryHollow {

/**
 * Makes the memory of large buffers go back to the kernel as soon as they are freed. By default the library keeps up to 64 MB of
 * freed buffers per thread, once buffers of that size were in use. Call at the start of the program.
 */
void returnFreedMemory();

} // namespace HickoryHollow
