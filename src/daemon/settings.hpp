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

/// Files of TLS keys. Empty: no TLS.
struct tls_settings
{
    std::string certificate; ///< PEM file of the own certificate
    std::string key;         ///< PEM file of the own private key
    std::string authority;   ///< PEM file of the authority that signed the others'

    [[nodiscard]] auto is_enabled() const -> bool { return !this->certificate.empty(); }
};

/// Settings of one host's process, as read from its JSON file.
struct daemon_settings
{
    host_address host;
    std::string admin_address; ///< IP number of the operators' API
    std::uint16_t admin_port = 0;
    platform_settings platform;
    std::vector<host_address> seeds; ///< hosts to ask while the platform is down
    std::string host_secret;         ///< shared by all hosts of the fleet
    std::string fleet_public_key;    ///< Ed25519 key that may change everything, hex
    std::string log_level = "info";
    std::size_t most_connections = 8192;
    std::size_t most_header_bytes = 16 << 10;           ///< all headers of one request
    duration leave_notice = std::chrono::seconds(5);    ///< from not ready to no new connections
    duration idle_connection = std::chrono::seconds(5); ///< idle caller connections are closed
    duration configuration_wait = std::chrono::seconds(10); ///< wait of one read of the log
    duration host_list_interval = std::chrono::seconds(4);
    duration claim_batch_delay =
        std::chrono::milliseconds(4); ///< claims are gathered for that long
    tls_settings caller_tls;          ///< towards callers
    tls_settings peer_tls;            ///< between hosts, both sides
    control_settings control;
    admission_settings admission;
    transaction_settings transactions;
};

/// Reads and checks a settings file as a whole; the reason lists every fault.
[[nodiscard]] auto read_daemon_settings(const std::string& path) -> outcome<daemon_settings>;
/// Likewise for a document in memory.
[[nodiscard]] auto parse_daemon_settings(const nlohmann::json& document)
    -> outcome<daemon_settings>;

} // namespace poplardrift
