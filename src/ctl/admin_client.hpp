#pragma once

#include "poplardrift/base/outcome.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace poplardrift::ctl
{

/// A response of the admin API: HTTP status and parsed body (discarded when it is not JSON).
struct admin_response
{
    int status = 0;
    nlohmann::json body;
};

/// Client of the admin API. Tries the endpoints in order and uses the first that responds. Calls
/// block.
class admin_client final
{
public:
    /// Each endpoint is `ADDRESS:PORT`.
    explicit admin_client(std::vector<std::string> endpoints) : endpoints(std::move(endpoints)) {}

    /// Fails with the last connection error when no endpoint responds.
    [[nodiscard]] auto get(const std::string& path) const -> outcome<admin_response>;
    /// Posts a signed change. Moves on to the next endpoint only while no connection can be
    /// established. Once a request may have reached a host and its response is lost, the change is
    /// not sent again; its state is queried by change id instead, which has no side effects.
    [[nodiscard]] auto submit(const nlohmann::json& change) const -> outcome<admin_response>;

private:
    std::vector<std::string> endpoints;
};

} // namespace poplardrift::ctl
