#include "poplardrift/base/crypto.hpp"

#include "poplardrift/base/assert.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>
#include <memory>

namespace poplardrift
{

namespace
{

using key_handle = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using digest_context = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

constexpr std::size_t raw_key_size = 32;
constexpr std::size_t signature_size = 64;

auto as_bytes(std::string_view text) -> const unsigned char*
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

auto hex_digit(char character) -> int
{
    if (character >= '0' && character <= '9')
    {
        return character - '0';
    }
    if (character >= 'a' && character <= 'f')
    {
        return character - 'a' + 10;
    }
    return -1;
}

auto load_private_key(std::string_view hex) -> key_handle
{
    const auto raw = from_hex(hex);
    if (!raw || raw->size() != raw_key_size)
    {
        return {nullptr, &EVP_PKEY_free};
    }
    return {EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, as_bytes(*raw), raw->size()),
            &EVP_PKEY_free};
}

} // namespace

auto to_hex(std::string_view bytes) -> std::string
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string result;
    result.reserve(bytes.size() * 2);
    for (const auto character : bytes)
    {
        const auto byte = static_cast<unsigned char>(character);
        result.push_back(digits[byte >> 4U]);
        result.push_back(digits[byte & 15U]);
    }
    return result;
}

auto from_hex(std::string_view text) -> std::optional<std::string>
{
    if (text.size() % 2 != 0)
    {
        return std::nullopt;
    }
    std::string result;
    result.reserve(text.size() / 2);
    for (std::size_t index = 0; index < text.size(); index += 2)
    {
        const auto high = hex_digit(text[index]);
        const auto low = hex_digit(text[index + 1]);
        if (high < 0 || low < 0)
        {
            return std::nullopt;
        }
        result.push_back(static_cast<char>(high * 16 + low));
    }
    return result;
}

auto sha256_hex(std::string_view bytes) -> std::string
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(as_bytes(bytes), bytes.size(), digest.data());
    return to_hex({reinterpret_cast<const char*>(digest.data()), digest.size()});
}

auto hmac_sha256(std::string_view key, std::string_view message) -> std::string
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), as_bytes(message), message.size(),
         digest.data(), &size);
    return {reinterpret_cast<const char*>(digest.data()), size};
}

auto equal_constant_time(std::string_view left, std::string_view right) -> bool
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

auto generate_key_pair() -> key_pair
{
    const auto private_key = random_hex(raw_key_size);
    const auto public_key = public_key_of(private_key);
    POPLARDRIFT_ASSERT(public_key.has_value());
    return {private_key, *public_key};
}

auto public_key_of(std::string_view private_key_hex) -> std::optional<std::string>
{
    const auto key = load_private_key(private_key_hex);
    if (!key)
    {
        return std::nullopt;
    }
    std::array<unsigned char, raw_key_size> raw{};
    auto size = raw.size();
    EVP_PKEY_get_raw_public_key(key.get(), raw.data(), &size);
    return to_hex({reinterpret_cast<const char*>(raw.data()), size});
}

auto sign_message(std::string_view private_key_hex, std::string_view message)
    -> std::optional<std::string>
{
    const auto key = load_private_key(private_key_hex);
    if (!key)
    {
        return std::nullopt;
    }
    const digest_context context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    std::array<unsigned char, signature_size> signature{};
    auto size = signature.size();
    const auto is_signed =
        EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, key.get()) == 1 &&
        EVP_DigestSign(context.get(), signature.data(), &size, as_bytes(message), message.size()) ==
            1;
    if (!is_signed)
    {
        return std::nullopt;
    }
    return to_hex({reinterpret_cast<const char*>(signature.data()), size});
}

auto verify_signature(std::string_view public_key_hex, std::string_view message,
                      std::string_view signature_hex) -> bool
{
    const auto raw_key = from_hex(public_key_hex);
    const auto signature = from_hex(signature_hex);
    if (!raw_key || raw_key->size() != raw_key_size || !signature)
    {
        return false;
    }
    const key_handle key(
        EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, as_bytes(*raw_key), raw_key->size()),
        &EVP_PKEY_free);
    const digest_context context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    return key && EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, key.get()) == 1 &&
           EVP_DigestVerify(context.get(), as_bytes(*signature), signature->size(),
                            as_bytes(message), message.size()) == 1;
}

auto random_hex(std::size_t byte_count) -> std::string
{
    std::string raw(byte_count, '\0');
    const auto filled =
        RAND_bytes(reinterpret_cast<unsigned char*>(raw.data()), static_cast<int>(byte_count));
    POPLARDRIFT_ASSERT(filled == 1);
    return to_hex(raw);
}

} // namespace poplardrift
