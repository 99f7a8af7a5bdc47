#include "observability/decision_log.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <sstream>

#include <unistd.h>

using namespace poplardrift;
using namespace std::chrono_literals;

namespace
{

auto read_all(int input) -> std::string
{
    std::string text;
    std::array<char, 65'536> buffer{};
    for (auto count = ::read(input, buffer.data(), buffer.size()); count > 0;
         count = ::read(input, buffer.data(), buffer.size()))
    {
        text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return text;
}

} // namespace

TEST_CASE("each line is a JSON object with the event's number, name and fields")
{
    std::array<int, 2> pipe_ends{};
    REQUIRE(::pipe(pipe_ends.data()) == 0);
    {
        decision_log log("host-1", pipe_ends[1]);
        log.write(event_code::zone_out, {{"zone", "a\"b"}});
    }
    ::close(pipe_ends[1]);
    const auto line = nlohmann::json::parse(read_all(pipe_ends[0]));
    ::close(pipe_ends[0]);
    CHECK(line.at("event") == 400);
    CHECK(line.at("name") == "zone-out");
    CHECK(line.at("host") == "host-1");
    CHECK(line.at("zone") == "a\"b");
}

TEST_CASE("a stalled reader does not block writers or shutdown")
{
    std::array<int, 2> pipe_ends{};
    REQUIRE(::pipe(pipe_ends.data()) == 0);
    const auto begin = std::chrono::steady_clock::now();
    {
        decision_log log("host-1", pipe_ends[1]);
        for (int batch = 0; batch < 3; ++batch)
        {
            for (int line = 0; line < 20'000; ++line)
            {
                log.write(event_code::request_failed, {{"request", "0123456789abcdef"}});
            }
            std::this_thread::sleep_for(300ms);
        }
        CHECK(std::chrono::steady_clock::now() - begin < 3s);
    }
    // The destructor returns although nothing reads the pipe.
    CHECK(std::chrono::steady_clock::now() - begin < 4s);
    ::close(pipe_ends[1]);
    ::close(pipe_ends[0]);
}

TEST_CASE("lines beyond the rate limit are dropped and counted")
{
    std::array<int, 2> pipe_ends{};
    REQUIRE(::pipe(pipe_ends.data()) == 0);
    std::string text;
    std::thread reader([&] { text = read_all(pipe_ends[0]); });
    constexpr int written = 5'000;
    {
        decision_log log("host-1", pipe_ends[1]);
        for (int line = 0; line < written; ++line)
        {
            log.write(event_code::request_done, {{"request", line}});
        }
    }
    ::close(pipe_ends[1]);
    reader.join();
    ::close(pipe_ends[0]);
    std::istringstream lines(text);
    std::uint64_t written_lines = 0;
    std::uint64_t dropped_lines = 0;
    for (std::string line; std::getline(lines, line);)
    {
        const auto object = nlohmann::json::parse(line);
        if (object.at("name") == "lines-dropped")
        {
            dropped_lines += object.at("count").get<std::uint64_t>();
        }
        else
        {
            ++written_lines;
        }
    }
    CHECK(written_lines < 1'000);
    CHECK(written_lines + dropped_lines == written);
}
