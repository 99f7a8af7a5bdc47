#pragma once

#include "poplardrift/base/outcome.hpp"
#include "poplardrift/core/control_core.hpp"
#include "poplardrift/transactions/transaction_core.hpp"

#include <httplib.h>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace poplardrift
{

/// Address and timeouts of the platform's API.
struct platform_settings
{
    std::string address; ///< IP address of the platform's API
    std::uint16_t port = 0;
    std::string source; ///< local IP address to connect from; empty: any
    duration connect_timeout = std::chrono::seconds(1);
    duration response_timeout = std::chrono::seconds(2); ///< in addition to the requested wait
};

/// Result of one read of a stream.
struct log_page
{
    log_offset first; ///< offset of the oldest retained record
    log_offset next;  ///< offset of the next record to be appended
    std::vector<log_record> records;
};

/// Client of the platform's log service. Not thread-safe; each call may block.
class log_client final
{
public:
    explicit log_client(platform_settings settings);

    /// Appends records in one batch. The result is `lost` when the request may have been executed
    /// but no response arrived.
    [[nodiscard]] auto append(const std::string& stream, const std::vector<nlohmann::json>& records)
        -> append_result;
    /// Reads records starting at an offset, waiting up to `wait` for one to arrive.
    [[nodiscard]] auto read(const std::string& stream, log_offset from, duration wait)
        -> outcome<log_page>;
    /// True when the last append was rejected by the log's rate limit (status 429).
    [[nodiscard]] auto was_rate_limited() const noexcept -> bool { return this->rate_limited; }
    /// Returns and resets the number of bytes sent and received; protocol overhead is estimated.
    [[nodiscard]] auto take_bytes() -> std::size_t { return std::exchange(this->bytes, 0); }

private:
    auto ensure_client(duration wait) -> void;

    platform_settings settings;
    std::unique_ptr<httplib::Client> client;
    bool rate_limited = false;
    std::size_t bytes = 0;
};

/// Reads the platform's host list on behalf of host `requester`. Each address comes with a flag
/// that is true when the host is leaving.
[[nodiscard]] auto read_host_list(const platform_settings& settings, const std::string& requester)
    -> outcome<std::vector<std::pair<host_address, bool>>>;

} // namespace poplardrift
