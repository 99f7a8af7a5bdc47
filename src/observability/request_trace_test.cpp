#include "observability/request_trace.hpp"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

#include <unistd.h>

using namespace poplardrift;

namespace
{

class log_files final
{
public:
    log_files()
    {
        std::filesystem::create_directories(this->folder);
        std::ofstream(this->name(0))
            << R"({"event":503,"host":"h0","name":"stream-resumed","request":"r1","time_ms":10000,"upstream":"u1"})"
            << "\nnot a line of ours\n{\"cut\":\n"
            << R"({"event":500,"host":"h0","name":"request-done","request":"r2","time_ms":10001,"upstream":"u9"})"
            << "\n";
        std::ofstream(this->name(1))
            << R"(collector: {"event":300,"host":"h1","name":"upstream-ejected","time_ms":9000,"upstream":"u1"})"
            << "\n"
            << R"({"event":300,"host":"h1","name":"upstream-ejected","time_ms":9000,"upstream":"u2"})"
            << "\n"
            << R"({"event":300,"host":"h1","name":"upstream-ejected","time_ms":1000,"upstream":"u1"})"
            << "\n"
            << R"({"event":500,"host":"h1","name":"request-done","request":"r1","time_ms":9500,"sends":2})"
            << "\n";
    }
    ~log_files() { std::filesystem::remove_all(this->folder); }
    log_files(const log_files&) = delete;
    auto operator=(const log_files&) -> log_files& = delete;

    auto name(int number) const -> std::string
    {
        return (this->folder / ("h" + std::to_string(number) + ".log")).string();
    }

private:
    /// Of this process, so that two test runs on one machine do not meet.
    std::filesystem::path folder = std::filesystem::temp_directory_path() /
                                   ("poplardrift-trace-test-" + std::to_string(::getpid()));
};

} // namespace

TEST_CASE("a trace merges a request's lines of all hosts with events about its upstreams by time")
{
    const log_files logs;
    const auto lines = trace_request("r1", {logs.name(0), logs.name(1)});
    REQUIRE(lines);
    REQUIRE(lines->size() == 3);
    CHECK(to_trace_text((*lines)[0]) == "9000 h1 upstream-ejected upstream=u1");
    CHECK(to_trace_text((*lines)[1]) == "9500 h1 request-done request=r1 sends=2");
    CHECK((*lines)[2]["name"] == "stream-resumed");
    CHECK(trace_request("r7", {logs.name(0)})->empty());
    CHECK(!trace_request("r1", {logs.name(5)}));
}
