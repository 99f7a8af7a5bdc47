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

/// Where and how the platform is reached.
struct platform_settings
{
    std::string address; ///< IP number of the platform's API
    std::uint16_t port = 0;
    std::string source; ///< IP number that connections come from; empty: any
    duration connect_timeout = std::chrono::seconds(1);
    duration response_timeout = std::chrono::seconds(2); ///< past the wait that was asked for
};

/// What one read of a stream gave.
struct log_page
{
    log_offset first; ///< oldest record that the log still has
    log_offset next;  ///< offset that the next append will get
    std::vector<log_record> records;
};

/// Client of the platform's log service. One thread uses an instance; each call may block.
class log_client final
{
public:
    explicit log_client(platform_settings settings);

    /// Appends records in one batch.
    [[nodiscard]] auto append(const std::string& stream, const std::vector<nlohmann::json>& records)
        -> append_result;
    /// Reads from an offset on, and waits up to `wait` for records if there are none.
    [[nodiscard]] auto read(const std::string& stream, log_offset from, duration wait)
        -> outcome<log_page>;
    /// True when the last append was refused because of the log's rate.
    [[nodiscard]] auto was_rate_limited() const noexcept -> bool { return this->rate_limited; }
    /// Bytes sent and received since the last call, headers estimated.
    [[nodiscard]] auto take_bytes() -> std::size_t { return std::exchange(this->bytes, 0); }

private:
    auto ensure_client(duration wait) -> void;

    platform_settings settings;
    std::unique_ptr<httplib::Client> client;
    bool rate_limited = false;
    std::size_t bytes = 0;
};

/// Reads the platform's host list as `requester`.
[[nodiscard]] auto read_host_list(const platform_settings& settings, const std::string& requester)
    -> outcome<std::vector<std::pair<host_address, bool>>>;

} // namespace poplardrift
