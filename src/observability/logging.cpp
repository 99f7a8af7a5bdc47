#include "poplardrift/base/ids.hpp"
