#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace poplardrift
{

/// Encodes bytes as lower-case hex.
[[nodiscard]] auto to_hex(std::string_view bytes) -> std::string;
/// Decodes lower-case hex; nullopt when it is malformed.
[[nodiscard]] auto from_hex(std::string_view text) -> std::optional<std::string>;

/// SHA-256 digest in hex.
[[nodiscard]] auto sha256_hex(std::string_view bytes) -> std::string;
/// HMAC-SHA-256 as 32 raw bytes.
[[nodiscard]] auto hmac_sha256(std::string_view key, std::string_view message) -> std::string;
/// Compares in constant time for texts of equal length, against timing attacks on MACs.
[[nodiscard]] auto equal_constant_time(std::string_view left, std::string_view right) -> bool;

/// Ed25519 key pair; each key is 32 raw bytes in hex.
struct key_pair
{
    std::string private_key;
    std::string public_key;
};

/// Generates a key pair from OpenSSL's random generator.
[[nodiscard]] auto generate_key_pair() -> key_pair;
/// Derives the public key, in hex, of a private key; nullopt when the key is malformed.
[[nodiscard]] auto public_key_of(std::string_view private_key_hex) -> std::optional<std::string>;
/// Ed25519 signature in hex; nullopt when the key is malformed or signing fails.
[[nodiscard]] auto sign_message(std::string_view private_key_hex, std::string_view message)
    -> std::optional<std::string>;
/// True when the Ed25519 signature of the message is valid for the public key.
[[nodiscard]] auto verify_signature(std::string_view public_key_hex, std::string_view message,
                                    std::string_view signature_hex) -> bool;
/// `byte_count` random bytes in hex, for ids and keys. Aborts when the generator fails.
[[nodiscard]] auto random_hex(std::size_t byte_count) -> std::string;

} // namespace poplardrift
