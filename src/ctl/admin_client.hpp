#pragma once

#include "poplardrift/base/outcome.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace poplardrift::ctl
{

/// An answer of the operators' interface.
struct admin_response
{
    int status = 0;
    nlohmann::json body;
};

/// Talks to the operators' interface of the first host that answers.
class admin_client final
{
public:
    /// Each endpoint is `ADDRESS:PORT`.
    explicit admin_client(std::vector<std::string> endpoints) : endpoints(std::move(endpoints)) {}

    [[nodiscard]] auto get(const std::string& path) const -> outcome<admin_response>;
    /// Goes to one host only, since a change whose answer is lost must not be sent blindly again; a
    /// repeat of the same change id is harmless, so the next host is asked for the id instead.
    [[nodiscard]] auto submit(const nlohmann::json& change) const -> outcome<admin_response>;

private:
    std::vector<std::string> endpoints;
};

} // namespace poplardrift::ctl
