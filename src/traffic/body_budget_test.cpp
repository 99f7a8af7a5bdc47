#include "traffic/body_budget.hpp"

#include <catch2/catch.hpp>

#include <random>
#include <utility>
#include <vector>

using namespace poplardrift::traffic;

TEST_CASE("a workspace leaves a quarter of the memory for bodies to the others")
{
    body_budget budget(1000);
    body_reservation large(budget, "large");
    CHECK(large.try_grow_to(750));
    body_reservation more(budget, "large");
    CHECK_FALSE(more.try_grow_to(1));
    body_reservation other(budget, "other");
    CHECK(other.try_grow_to(250));
    CHECK_FALSE(other.try_grow_to(251));
    large = {};
    CHECK(more.try_grow_to(500));
    CHECK(budget.get_taken() == 750);
}

TEST_CASE("a budget has room for all again when all reservations are gone")
{
    const auto seed = GENERATE(range(1U, 20U));
    std::mt19937 random(seed);
    body_budget budget(10'000);
    {
        std::vector<body_reservation> open(8);
        for (int step = 0; step < 200; ++step)
        {
            auto& any = open[random() % open.size()];
            switch (random() % 3)
            {
            case 0:
                any =
                    body_reservation(budget, std::string(1, static_cast<char>('a' + random() % 3)));
                break;
            case 1:
                any = std::move(open[random() % open.size()]);
                break;
            default:
                if (any.is_open())
                {
                    static_cast<void>(any.try_grow_to(random() % 3000));
                }
            }
            CHECK(budget.get_taken() <= 10'000);
        }
    }
    CHECK(budget.get_taken() == 0);
    body_reservation whole(budget, "a");
    CHECK(whole.try_grow_to(7500));
}
