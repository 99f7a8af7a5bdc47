#include "traffic/descriptor_budget.hpp"

#include <catch2/catch.hpp>

using namespace poplardrift::traffic;

TEST_CASE("a descriptor counts until its last lease is gone, for its own use only")
{
    descriptor_budget budget(2);
    auto first = budget.take(descriptor_use::caller);
    auto copy = first;
    auto second = budget.take(descriptor_use::caller);
    CHECK_FALSE(budget.has_room(descriptor_use::caller));
    CHECK(budget.has_room(descriptor_use::upstream));
    first = nullptr;
    CHECK_FALSE(budget.has_room(descriptor_use::caller));
    copy = nullptr;
    CHECK(budget.has_room(descriptor_use::caller));
}
