#include "poplardrift/transactions/records.hpp"

#include "poplardrift/base/crypto.hpp"

namespace poplardrift
{

namespace
{

/// Hashes are the first 128 bits of a SHA-256.
constexpr std::size_t digest_digits = 32;

/// Serializes each record type.
struct json_writer
{
    auto operator()(const claim_record& item) const -> nlohmann::json
    {
        return {{"t", "claim"},
                {"k", item.key.value()},
                {"f", item.fingerprint.value()},
                {"h", item.host.value()},
                {"i", item.incarnation.value()},
                {"n", item.number.value()}};
    }
    auto operator()(const void_record& item) const -> nlohmann::json
    {
        return {{"t", "void"}, {"k", item.key.value()}, {"o", item.claim.value()}};
    }
    auto operator()(const done_record& item) const -> nlohmann::json
    {
        return {{"t", "done"},
                {"k", item.key.value()},
                {"o", item.claim.value()},
                {"s", item.answer.status},
                {"c", item.answer.content_type},
                {"b", item.answer.body},
                {"w", item.answer.body_kept}};
    }
    auto operator()(const unknown_record& item) const -> nlohmann::json
    {
        return {{"t", "unknown"}, {"k", item.key.value()}, {"o", item.claim.value()}};
    }
};

auto read_record(const nlohmann::json& document) -> std::optional<transaction_record>
{
    const auto type = document.at("t").get<std::string>();
    const transaction_key key{document.at("k").get<std::string>()};
    if (type == "claim")
    {
        return claim_record{key, request_fingerprint{document.at("f").get<std::string>()},
                            host_id{document.at("h").get<std::uint32_t>()},
                            incarnation_id{document.at("i").get<std::uint64_t>()},
                            claim_number{document.at("n").get<std::uint64_t>()}};
    }
    const log_offset claim{document.at("o").get<std::uint64_t>()};
    if (type == "void")
    {
        return void_record{key, claim};
    }
    if (type == "unknown")
    {
        return unknown_record{key, claim};
    }
    if (type == "done")
    {
        return done_record{key,
                           claim,
                           {document.at("s").get<int>(), document.at("c").get<std::string>(),
                            document.at("b").get<std::string>(), document.at("w").get<bool>()}};
    }
    return std::nullopt;
}

} // namespace

auto make_transaction_key(workspace_id workspace, std::string_view key) -> transaction_key
{
    return transaction_key{sha256_hex(std::to_string(workspace.value()) + ":" + std::string(key))
                               .substr(0, digest_digits)};
}

auto make_fingerprint(std::string_view method, std::string_view target, std::string_view body)
    -> request_fingerprint
{
    std::string text(method);
    text += '\n';
    text += target;
    text += '\n';
    text += body;
    return request_fingerprint{sha256_hex(text).substr(0, digest_digits)};
}

auto to_json(const transaction_record& record) -> nlohmann::json
{
    return std::visit(json_writer{}, record);
}

auto transaction_record_from_json(const nlohmann::json& document)
    -> std::optional<transaction_record>
{
    try
    {
        return read_record(document);
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace poplardrift
