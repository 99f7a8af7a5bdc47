#include "traffic/memory_budget.hpp"

#include <catch2/catch.hpp>

#include <random>
#include <utility>
#include <vector>

using namespace poplardrift::traffic;

TEST_CASE("a workspace leaves a quarter of the memory to the others")
{
    memory_budget budget(1000);
    memory_reservation large(budget, 1);
    memory_reservation more(budget, 2);
    memory_reservation other(budget, 3);
    CHECK(large.try_assign("large") == room_shortage::none);
    CHECK(more.try_assign("large") == room_shortage::none);
    CHECK(other.try_assign("other") == room_shortage::none);
    CHECK(large.try_resize(750) == room_shortage::none);
    CHECK(more.try_resize(1) == room_shortage::workspace);
    CHECK(other.try_resize(250) == room_shortage::none);
    CHECK(other.try_resize(251) == room_shortage::process);
    large = {};
    CHECK(more.try_resize(500) == room_shortage::none);
    CHECK(budget.get_taken() == 750);
}

TEST_CASE("a caller address leaves a quarter of the memory to the others, whatever its workspaces")
{
    memory_budget budget(1000);
    memory_reservation first(budget, 1);
    memory_reservation second(budget, 1);
    memory_reservation other(budget, 2);
    CHECK(first.try_assign("a") == room_shortage::none);
    CHECK(second.try_assign("b") == room_shortage::none);
    CHECK(first.try_resize(400) == room_shortage::none);
    CHECK(second.try_resize(351) == room_shortage::address);
    CHECK(second.try_resize(350) == room_shortage::none);
    CHECK(other.try_resize(250) == room_shortage::none);
}

TEST_CASE("bytes held before the workspace is known count for it afterwards")
{
    memory_budget budget(1000);
    memory_reservation first(budget, 1);
    memory_reservation second(budget, 2);
    CHECK(first.try_resize(500) == room_shortage::none);
    CHECK(second.try_resize(400) == room_shortage::none);
    CHECK(first.try_assign("w") == room_shortage::none);
    CHECK(second.try_assign("w") == room_shortage::workspace);
    CHECK(second.get_bytes() == 0);
    CHECK(budget.get_taken() == 500);
}

TEST_CASE("of two connections, the one that holds more or has stood still for longer goes first")
{
    CHECK(closing_rank({4000, 0.0}) > closing_rank({1000, 0.0}));
    CHECK(closing_rank({1000, 9.0}) > closing_rank({4000, 0.0}));
    CHECK(closing_rank({0, 100.0}) == 0.0);
}

TEST_CASE("a budget has room for all again when all reservations are gone")
{
    const auto seed = GENERATE(range(1U, 20U));
    std::mt19937 random(seed);
    memory_budget budget(10'000);
    {
        std::vector<memory_reservation> open(8);
        for (auto& one : open)
        {
            one = memory_reservation(budget, random() % 3);
        }
        for (int step = 0; step < 200; ++step)
        {
            auto& any = open[random() % open.size()];
            switch (random() % 4)
            {
            case 0:
                any = memory_reservation(budget, random() % 3);
                break;
            case 1:
            {
                auto& other = open[random() % open.size()];
                any = std::move(other);
                other = memory_reservation(budget, random() % 3);
                break;
            }
            case 2:
                static_cast<void>(
                    any.try_assign(std::string(1, static_cast<char>('a' + random() % 3))));
                break;
            default:
                static_cast<void>(any.try_resize(random() % 3000));
            }
            CHECK(budget.get_taken() <= 10'000);
        }
    }
    CHECK(budget.get_taken() == 0);
    memory_reservation whole(budget, 1);
    CHECK(whole.try_resize(7500) == room_shortage::none);
}
