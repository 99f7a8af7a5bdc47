#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace poplardrift
{

/// Lower-case hex of bytes.
[[nodiscard]] auto to_hex(std::string_view bytes) -> std::string;
/// Bytes of a hex text; nothing when it is malformed.
[[nodiscard]] auto from_hex(std::string_view text) -> std::optional<std::string>;

/// SHA-256 of bytes, hex.
[[nodiscard]] auto sha256_hex(std::string_view bytes) -> std::string;
/// HMAC-SHA-256, raw 32 bytes.
[[nodiscard]] auto hmac_sha256(std::string_view key, std::string_view message) -> std::string;
/// Compares in a time that does not depend on the contents.
[[nodiscard]] auto equal_constant_time(std::string_view left, std::string_view right) -> bool;

/// An Ed25519 key pair, both raw 32-byte keys in hex.
struct key_pair
{
    std::string private_key;
    std::string public_key;
};

/// A new key pair from the system's random source.
[[nodiscard]] auto generate_key_pair() -> key_pair;
/// Public key that belongs to a private one, hex; nothing when the key is malformed.
[[nodiscard]] auto public_key_of(std::string_view private_key_hex) -> std::optional<std::string>;
/// Ed25519 signature in hex; nothing when the key is malformed.
[[nodiscard]] auto sign_message(std::string_view private_key_hex, std::string_view message)
    -> std::optional<std::string>;
/// True when the signature is the key owner's over this message.
[[nodiscard]] auto verify_signature(std::string_view public_key_hex, std::string_view message,
                                    std::string_view signature_hex) -> bool;
/// Random bytes from the system, hex, for ids.
[[nodiscard]] auto random_hex(std::size_t byte_count) -> std::string;

} // namespace poplardrift
