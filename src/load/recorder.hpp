#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace poplardrift::load
{

/// How a caller's request ended.
enum class request_end : std::uint8_t
{
    done,
    refused_not_run, ///< refused, and the refusal says that it did not run
    unknown,         ///< an answer that says so
    lost,            ///< broken off, wrong, or without any word
    lost_with_host,  ///< broken off because its host was killed by the experiment
};

/// One chat turn as the caller saw it.
struct chat_sample
{
    double at_seconds = 0; ///< since the run's begin
    request_end end = request_end::lost;
    double first_token_seconds = 0;
    std::vector<float> gaps_seconds; ///< between tokens
    bool returning = false;
    std::int64_t cacheable_tokens = 0; ///< that an earlier turn left in some cache
    std::int64_t cached_tokens = 0;
    std::int64_t oracle_tokens = 0;
    std::string workspace;
    std::string why;
};

/// One booking with its repeats.
struct booking_sample
{
    double at_seconds = 0;
    std::string order;
    std::string key;
    std::string workspace_key;
    request_end end = request_end::lost;
    double seconds = 0;
    std::string why;
};

/// Collects samples from all callers' threads.
class recorder final
{
public:
    auto add(chat_sample sample) -> void;
    auto add(booking_sample sample) -> void;
    /// Engines' requests in flight at one moment.
    auto add_loads(double at_seconds, std::map<std::string, int> loads) -> void;
    auto add_mark(double at_seconds, const std::string& what) -> void;

    [[nodiscard]] auto chats() const -> const std::vector<chat_sample>&
    {
        return this->chat_samples;
    }
    [[nodiscard]] auto bookings() const -> const std::vector<booking_sample>&
    {
        return this->booking_samples;
    }
    [[nodiscard]] auto loads() const
        -> const std::vector<std::pair<double, std::map<std::string, int>>>&
    {
        return this->load_samples;
    }
    [[nodiscard]] auto marks() const -> const std::vector<std::pair<double, std::string>>&
    {
        return this->mark_list;
    }

private:
    std::mutex mutex;
    std::vector<chat_sample> chat_samples;
    std::vector<booking_sample> booking_samples;
    std::vector<std::pair<double, std::map<std::string, int>>> load_samples;
    std::vector<std::pair<double, std::string>> mark_list;
};

/// The value below which this share of the samples lies; zero without samples.
[[nodiscard]] auto percentile(std::vector<double> values, double share) -> double;

} // namespace poplardrift::load
