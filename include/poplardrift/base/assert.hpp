#pragma once

#include <cstdio>
#include <cstdlib>

/// Prints the failed condition and aborts. For internal invariants only, not for validating input.
#define POPLARDRIFT_ASSERT(condition)                                                              \
    do                                                                                             \
    {                                                                                              \
        if (!(condition))                                                                          \
        {                                                                                          \
            std::fprintf(stderr, "%s:%d: invariant broken: %s\n", __FILE__, __LINE__, #condition); \
            std::abort();                                                                          \
        }                                                                                          \
    } while (false)
