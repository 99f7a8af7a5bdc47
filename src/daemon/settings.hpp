#pragma once

#include "net/http_listener.hpp"
#include "platform/log_client.hpp"
#include "poplardrift/admission/admission.hpp"
#include "poplardrift/base/outcome.hpp"
#include "poplardrift/core/control_core.hpp"
#include "poplardrift/transactions/transaction_core.hpp"

#include <string>
#include <vector>

namespace poplardrift
{

/// TLS key files. TLS is off when `certificate` is empty.
struct tls_settings
{
    std::string certificate; ///< PEM file of this host's certificate
    std::string key;         ///< PEM file of this host's private key
    std::string authority;   ///< PEM file of the CA that signed the peers' certificates

    [[nodiscard]] auto is_enabled() const -> bool { return !this->certificate.empty(); }
};

/// Settings of one host's process, read from its JSON file.
struct daemon_settings
{
    host_address host;
    std::string admin_address; ///< IP address of the admin API
    std::uint16_t admin_port = 0;
    platform_settings platform;
    std::vector<host_address> seeds; ///< hosts to contact while the platform is down
    std::string host_secret;         ///< shared by all hosts of the fleet
    std::string fleet_public_key;    ///< Ed25519 key that may sign any change, hex
    std::string log_level = "info";
    std::size_t most_connections = 8192;
    std::size_t most_header_bytes = 16 << 10; ///< limit for all headers of a request
    /// Time from reporting not ready to closing the listener.
    duration leave_notice = std::chrono::seconds(5);
    duration idle_connection = std::chrono::seconds(5);     ///< idle timeout of caller connections
    duration configuration_wait = std::chrono::seconds(10); ///< long-poll wait of one log read
    duration host_list_interval = std::chrono::seconds(4);
    duration claim_batch_delay = std::chrono::milliseconds(4); ///< batching time of claims
    tls_settings caller_tls; ///< server side of caller connections
    tls_settings peer_tls;   ///< connections between hosts, both sides
    control_settings control;
    admission_settings admission;
    transaction_settings transactions;
};

/// Reads and validates a settings file. On failure the reason lists all errors.
[[nodiscard]] auto read_daemon_settings(const std::string& path) -> outcome<daemon_settings>;
/// Does the same for a parsed document.
[[nodiscard]] auto parse_daemon_settings(const nlohmann::json& document)
    -> outcome<daemon_settings>;

} // namespace poplardrift
