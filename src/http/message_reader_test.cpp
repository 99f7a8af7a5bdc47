#include "http/message_reader.hpp"

#include "thread_cpu_time.hpp"

#include <catch2/catch.hpp>

#include <random>
#include <string>
#include <vector>

using namespace poplardrift::http;

namespace
{

constexpr reader_limits limits{1024, 4096};

auto read_request(const std::string& bytes) -> request_reader
{
    request_reader reader(limits);
    reader.feed(bytes);
    return reader;
}

auto error_of(const std::string& bytes) -> read_error
{
    return read_request(bytes).error();
}

/// Result of parsing a request. Must not depend on how the bytes are split into reads.
struct parse_result
{
    read_error error = read_error::none;
    bool complete = false;
    std::string target;
    std::string body;
    auto operator==(const parse_result&) const -> bool = default;
};

auto result_of(request_reader& reader) -> parse_result
{
    parse_result result;
    result.error = reader.error();
    result.complete = reader.is_complete();
    if (result.complete)
    {
        result.target = reader.head().target;
        result.body = reader.take_body();
    }
    return result;
}

auto read_in_pieces(const std::string& bytes, std::mt19937& random) -> parse_result
{
    request_reader reader(limits);
    for (std::size_t at = 0; at < bytes.size() && reader.error() == read_error::none;)
    {
        const auto piece = std::min<std::size_t>(bytes.size() - at, 1 + random() % 7);
        reader.feed(std::string_view(bytes).substr(at, piece));
        at += piece;
    }
    return result_of(reader);
}

auto read_whole(const std::string& bytes) -> parse_result
{
    auto reader = read_request(bytes);
    return result_of(reader);
}

} // namespace

TEST_CASE("requests with ambiguous framing or an invalid Host field are rejected")
{
    CHECK(
        error_of("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n") ==
        read_error::malformed);
    CHECK(error_of("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") == read_error::malformed);
    CHECK(error_of("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
                   "Content-Length: 3\r\n\r\n0\r\n\r\n") == read_error::malformed);
    CHECK(error_of("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n") ==
          read_error::unsupported_coding);
    CHECK(error_of("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n") ==
          read_error::unsupported_coding);
    CHECK(error_of("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n") ==
          read_error::malformed);
    CHECK(error_of("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n") == read_error::malformed);
    CHECK(error_of("GET / HTTP/1.1\r\n\r\n") == read_error::malformed);
    CHECK(error_of("GET / HTTP/1.1\r\nHost : a\r\n\r\n") == read_error::malformed);
    CHECK(error_of("GET /\r\n\r\n") == read_error::malformed);
}

TEST_CASE("HTTP/1.0 requests need no Host field and must not be chunked")
{
    auto reader = read_request("GET /x HTTP/1.0\r\n\r\n");
    REQUIRE(reader.is_complete());
    CHECK_FALSE(reader.head().reads_chunks);
    CHECK_FALSE(reader.head().keep_alive);
    CHECK(error_of("GET / HTTP/1.0\r\nHost: a\r\nHost: b\r\n\r\n") == read_error::malformed);
    CHECK(error_of("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
          read_error::malformed);
    CHECK(read_request("GET / HTTP/1.1\r\nHost: a\r\n\r\n").head().reads_chunks);
}

TEST_CASE("requests that exceed the size limits are rejected")
{
    CHECK(error_of("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(2000, 'x') + "\r\n\r\n") ==
          read_error::head_too_large);
    CHECK(error_of("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n") ==
          read_error::body_too_large);
}

TEST_CASE("pipelined requests are read one at a time")
{
    request_reader reader(limits);
    reader.feed("POST /one HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET /two HTTP/1.1\r\n"
                "Host: a\r\n\r\n");
    REQUIRE(reader.is_complete());
    CHECK(reader.head().target == "/one");
    CHECK(reader.take_body() == "abc");
    CHECK(reader.bytes_ahead() > 0);
    reader.next(limits);
    REQUIRE(reader.is_complete());
    CHECK(reader.head().target == "/two");
}

TEST_CASE("a chunked request is complete after its last chunk, and trailers are dropped")
{
    auto reader = read_request("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                               "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n");
    REQUIRE(reader.is_complete());
    CHECK(reader.take_body() == "abcde");
    CHECK(!reader.head().fields.find("X-Trailer"));
}

TEST_CASE("a response without a length is complete only when the peer closes cleanly")
{
    response_reader reader;
    reader.feed("HTTP/1.1 200 OK\r\n\r\nabc");
    REQUIRE(reader.has_head());
    CHECK(reader.head().framing == body_framing::until_close);
    CHECK(!reader.is_complete());
    reader.feed_end();
    CHECK(reader.is_complete());
}

TEST_CASE("a truncated response is an error")
{
    for (const auto* const bytes :
         {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "HTTP/1.1 200"})
    {
        response_reader reader;
        reader.feed(bytes);
        reader.feed_end();
        CHECK(!reader.is_complete());
        CHECK(reader.error() != read_error::none);
    }
}

TEST_CASE("interim responses are skipped")
{
    response_reader reader;
    reader.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
    REQUIRE(reader.is_complete());
    CHECK(reader.head().status == 200);
}

TEST_CASE("a response with a status that no response to the request can have is malformed")
{
    // Guards against forwarding, as an answer, the head of an upstream that is in trouble.
    for (const auto* const status : {"000", "001", "099", "101", "600", "999"})
    {
        for (const auto* const before : {"", "HTTP/1.1 100 Continue\r\n\r\n"})
        {
            response_reader reader;
            reader.next(false);
            reader.feed(std::string(before) + "HTTP/1.1 " + status +
                        " Unknown\r\nContent-Length: 2\r\n\r\nok");
            CAPTURE(status, before);
            CHECK(reader.error() == read_error::malformed);
            CHECK_FALSE(reader.has_head());
            CHECK_FALSE(reader.is_complete());
        }
    }
    for (const auto* const status : {"200", "299", "421", "599"})
    {
        response_reader reader;
        reader.next(false);
        reader.feed(std::string("HTTP/1.1 ") + status + " Any\r\nContent-Length: 2\r\n\r\nok");
        CAPTURE(status);
        CHECK(reader.is_complete());
    }
}

TEST_CASE("a response with a field name that holds a blank or a control byte is malformed")
{
    // Guards against a line that is passed on as part of the field before it, or framing that is
    // not the upstream's (RFC 9112, section 5).
    using namespace std::string_literals;
    std::vector<std::string> lines = {" Content-Length: 2",
                                      "\tContent-Length: 2",
                                      " X: y",
                                      "\tX: y",
                                      " ",
                                      "Content-Length : 2",
                                      "Content-Length\t: 2",
                                      "Content Length: 2",
                                      "Transfer-Encoding : chunked",
                                      "X\x01: y",
                                      "X\x7f: y",
                                      "X\0: y"s,
                                      "\x0bX: y",
                                      "Content-Length\r: 2",
                                      ": y",
                                      "X\x80: y",
                                      "Poplardrift\x1f-Seal: s"};
    for (int code = 0; code <= 0x7f; ++code)
    {
        const std::string byte(1, static_cast<char>(code));
        if (code <= ' ' || code == 0x7f)
        {
            lines.insert(lines.end(),
                         {byte + "X-Note: y", "X-" + byte + "Note: y", "X-Note" + byte + ": y",
                          byte + "Content-Length: 2", "Content-" + byte + "Length: 2",
                          "Content-Length" + byte + ": 2"});
        }
    }
    for (const auto& line : lines)
    {
        for (const auto& head :
             {"X-Before: a\r\n" + line + "\r\nContent-Length: 4\r\n",
              "X-Before: a\r\n" + line + "\r\n", line + "\r\nContent-Length: 4\r\n"})
        {
            const auto bytes = "HTTP/1.1 200 OK\r\n" + head + "\r\nbody";
            CAPTURE(bytes);
            response_reader whole;
            whole.next(false);
            whole.feed(bytes);
            whole.feed_end();
            CHECK(whole.error() == read_error::malformed);
            CHECK_FALSE(whole.is_complete());
            response_reader in_bytes;
            in_bytes.next(false);
            for (const auto byte : bytes)
            {
                in_bytes.feed(std::string(1, byte));
            }
            in_bytes.feed_end();
            CHECK(in_bytes.error() == read_error::malformed);
        }
        response_reader interim;
        interim.next(false);
        interim.feed("HTTP/1.1 103 Early Hints\r\nLink: a\r\n" + line +
                     "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        CHECK(interim.error() == read_error::malformed);
    }
}

TEST_CASE("a response of HTTP/1.0 with a transfer coding is malformed")
{
    // HTTP/1.0 has no transfer codings, so such framing is faulty (RFC 9112, section 6.1).
    for (const auto* const fields : {"", "Connection: keep-alive\r\n"})
    {
        for (const auto to_head_request : {false, true})
        {
            response_reader reader;
            reader.next(to_head_request);
            reader.feed(std::string("HTTP/1.0 200 OK\r\n") + fields +
                        "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
            reader.feed_end();
            CAPTURE(fields, to_head_request);
            CHECK(reader.error() == read_error::malformed);
            CHECK_FALSE(reader.is_complete());
        }
    }
    response_reader without_coding;
    without_coding.next(false);
    without_coding.feed("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK(without_coding.is_complete());
}

TEST_CASE("a response that announces a body with a status that has none is malformed")
{
    // Guards against a response without the body that its upstream sent, and against bytes of an
    // interim response's body that are read as the response (RFC 9112, section 6.1; RFC 9110,
    // section 8.6).
    const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    for (const auto* const status : {"100", "103", "204"})
    {
        for (const auto& rest :
             {"Content-Length: 2\r\n\r\nok", chunked.c_str(), "Transfer-Encoding: gzip\r\n\r\n"})
        {
            response_reader reader;
            reader.next(false);
            reader.feed(std::string("HTTP/1.1 ") + status + " Any\r\n" + rest + ok);
            CAPTURE(status, rest);
            CHECK(reader.error() != read_error::none);
            CHECK_FALSE(reader.is_complete());
        }
    }
    // What announces no body stays accepted, as do the fields of the body that a response to a GET
    // request would have.
    for (const auto* const head : {"204 No Content\r\n", "204 No Content\r\nContent-Length: 0\r\n",
                                   "304 Not Modified\r\nContent-Length: 2\r\n"})
    {
        response_reader reader;
        reader.next(false);
        reader.feed(std::string("HTTP/1.1 ") + head + "\r\n");
        CAPTURE(head);
        CHECK(reader.is_complete());
    }
    response_reader to_head_request;
    to_head_request.next(true);
    to_head_request.feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n");
    CHECK(to_head_request.is_complete());
    response_reader interim;
    interim.next(false);
    interim.feed("HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n" + ok);
    CHECK(interim.is_complete());
}

TEST_CASE("a chunk extension with a control byte makes a response malformed")
{
    // Control bytes are no part of a quoted string (RFC 9110, section 5.6.4); an LF ends the line
    // for some readers.
    using namespace std::string_literals;
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const auto byte : {'\0', '\x01', '\n', '\v', '\x1f', '\x7f'})
    {
        const auto extension = ";a=\"b"s + byte + "\"";
        for (const auto& body :
             {"2" + extension + "\r\nok\r\n0\r\n\r\n", "2\r\nok\r\n0" + extension + "\r\n\r\n"})
        {
            response_reader reader;
            reader.next(false);
            reader.feed(head + body);
            CAPTURE(body);
            CHECK(reader.error() == read_error::malformed);
            CHECK_FALSE(reader.is_complete());
        }
    }
    response_reader valid;
    valid.next(false);
    valid.feed(head + "2;a;b=c;d=\"e \tf\xe4\\\"\"\r\nok\r\n0;g=h\r\n\r\n");
    REQUIRE(valid.is_complete());
    CHECK(valid.take_body() == "ok");
}

TEST_CASE("a response with an invalid trailer is malformed")
{
    const std::string body =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
    for (const auto* const trailers :
         {" X: a", "X: a\r\n Y: b", "X: a\r\n\tY: b", "X: a\r\n ", "X:\r\n a", "X : a", "X\x01: a",
          "X", "X: \x01", "Transfer-Encoding: chunked", "Content-Length: 2"})
    {
        CAPTURE(trailers);
        response_reader whole;
        whole.next(false);
        whole.feed(body + trailers + "\r\n\r\n");
        CHECK(whole.error() == read_error::malformed);
        CHECK_FALSE(whole.is_complete());
        response_reader in_bytes;
        in_bytes.next(false);
        for (const auto byte : body + trailers + "\r\n\r\n")
        {
            in_bytes.feed(std::string(1, byte));
        }
        CHECK(in_bytes.error() == read_error::malformed);
    }
    response_reader valid;
    valid.next(false);
    valid.feed(body + "X: a  b\tc\r\nY:\r\n\r\n");
    REQUIRE(valid.is_complete());
    CHECK(valid.take_body() == "ok");
    CHECK_FALSE(valid.head().fields.find("X"));
}

TEST_CASE("bytes of a body that look like a continued field change nothing")
{
    const std::string body = "a\r\n b\n\tc";
    response_reader reader;
    reader.next(false);
    reader.feed("HTTP/1.1 200 OK\r\nX: a  b\tc\r\nContent-Length: " + std::to_string(body.size()) +
                "\r\n\r\n" + body);
    REQUIRE(reader.is_complete());
    CHECK(reader.take_body() == body);
    CHECK(reader.head().fields.find("X") == "a  b\tc");
}

TEST_CASE("bytes after the end of a response are counted as bytes ahead")
{
    response_reader reader;
    reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n");
    REQUIRE(reader.is_complete());
    CHECK(reader.bytes_ahead() > 0);
}

TEST_CASE("fuzz: parsing corrupted requests does not depend on how the bytes are split")
{
    const std::vector<std::string> seeds = {
        "POST /a/b?c HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
        "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwxyz\r\n0\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nConnection: close, x\r\nX-Y: z\r\n\r\n"};
    std::mt19937 random(20261204);
    for (int round = 0; round < 20'000; ++round)
    {
        auto bytes = seeds[random() % seeds.size()];
        for (auto damage = random() % 4; damage > 0; --damage)
        {
            const auto at = random() % bytes.size();
            switch (random() % 3)
            {
            case 0:
                bytes[at] = static_cast<char>(random() % 256);
                break;
            case 1:
                bytes.erase(at, 1 + random() % 3);
                break;
            default:
                bytes.insert(at, std::string(1 + random() % 3, static_cast<char>(random() % 256)));
                break;
            }
            if (bytes.empty())
            {
                bytes = "G";
            }
        }
        const auto whole = read_whole(bytes);
        const auto pieces = read_in_pieces(bytes, random);
        INFO(bytes);
        REQUIRE(whole.complete == pieces.complete);
        if (whole.complete)
        {
            REQUIRE(whole == pieces);
        }
    }
}

TEST_CASE("fuzz: a corrupted response is never complete with a body that differs from its length")
{
    const std::string seed = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\nX: y\r\n\r\n12345678";
    std::mt19937 random(20261205);
    for (int round = 0; round < 20'000; ++round)
    {
        auto bytes = seed;
        bytes[random() % bytes.size()] = static_cast<char>(random() % 256);
        response_reader reader;
        reader.feed(bytes.substr(0, random() % (bytes.size() + 1)));
        reader.feed_end();
        if (reader.is_complete() && reader.head().framing == body_framing::length)
        {
            REQUIRE(reader.take_body().size() == reader.head().content_length);
        }
    }
}

TEST_CASE("many small requests in one buffer take time linear in their bytes")
{
    // Guards against moving all buffered bytes for each message that is read.
    const auto time_to_read = [](std::size_t bytes)
    {
        const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        std::string text;
        while (text.size() < bytes)
        {
            text += request;
        }
        return poplardrift::tests::cpu_time_of(
            [&]
            {
                request_reader reader(limits);
                reader.feed(text);
                std::size_t messages = 0;
                while (reader.is_complete())
                {
                    ++messages;
                    reader.next(limits);
                }
                CHECK(messages == text.size() / request.size());
            });
    };
    const auto small = time_to_read(262'144);
    const auto large = time_to_read(8 * 262'144);
    CAPTURE(small.count(), large.count());
    CHECK(large <= 2 * 8 * small);
}

TEST_CASE("interim responses without end are not read without end")
{
    response_reader reader;
    reader.next(false);
    std::string bytes;
    while (bytes.size() < 65'536)
    {
        bytes += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    constexpr int max_reads = 2; // a response head has at most 64 KiB
    int reads = 0;
    while (reader.error() == read_error::none && reads <= max_reads)
    {
        reader.feed(bytes);
        ++reads;
    }
    CHECK(reader.error() != read_error::none);
}

TEST_CASE("a response after a few interim ones is read")
{
    response_reader reader;
    reader.next(false);
    reader.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    REQUIRE(reader.is_complete());
    CHECK(reader.head().status == 200);
    CHECK(reader.take_body() == "ok");
}
