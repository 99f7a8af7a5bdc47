#include "quarantine/part_evidence.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

using namespace poplardrift;
using namespace poplardrift::quarantine;
using namespace std::chrono_literals;

TEST_CASE("copies with more marks than they keep agree after any order of merges")
{
    const auto seed = GENERATE(range(1U, 60U));
    std::mt19937 random(seed);
    constexpr std::size_t copy_count = 4;
    std::vector<part_evidence> copies(copy_count);
    const auto begin = time_point{1000s};
    for (std::uint32_t number = 1; number <= 60; ++number)
    {
        auto& copy = copies[random() % copy_count];
        const auto now = begin + number * 10ms;
        switch (random() % 8)
        {
        case 0:
            copy.merge(copies[random() % copy_count]);
            break;
        case 1:
            if (copy.has_open_marks())
            {
                ++copy.level;
                copy.quarantined_until = now + 60s;
            }
            break;
        case 2:
            if (random() % 10 == 0)
            {
                copy.refute(now);
            }
            break;
        default:
            copy.add({upstream_instance(static_cast<std::uint32_t>(random() % 20)),
                      request_key(number), now, false, true});
        }
    }
    for (int round = 0; round < 2; ++round)
    {
        for (auto& to : copies)
        {
            for (const auto& from : copies)
            {
                to.merge(from);
            }
        }
    }
    const auto keys_of = [](const part_evidence& copy)
    {
        std::vector<std::pair<upstream_instance, request_key>> keys;
        for (const auto& mark : copy.open_marks())
        {
            keys.emplace_back(mark.upstream, mark.request);
        }
        std::sort(keys.begin(), keys.end());
        return keys;
    };
    for (auto& copy : copies)
    {
        CHECK(keys_of(copy) == keys_of(copies.front()));
        CHECK(copy.level == copies.front().level);
        CHECK(copy.count_open_marks() <= part_evidence::max_marks);
        CHECK_FALSE(copy.merge(copies.front())); // nothing is left to learn
    }
}
