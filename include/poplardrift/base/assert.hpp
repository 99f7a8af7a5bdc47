#pragma once

#include <cstdio>
#include <cstdlib>

/// Stops the process when an invariant of the program is broken. Never used on input.
#define POPLARDRIFT_ASSERT(condition)                                                              \
    do                                                                                             \
    {                                                                                              \
        if (!(condition))                                                                          \
        {                                                                                          \
            std::fprintf(stderr, "%s:%d: invariant broken: %s\n", __FILE__, __LINE__, #condition); \
            std::abort();                                                                          \
        }                                                                                          \
    } while (false)
