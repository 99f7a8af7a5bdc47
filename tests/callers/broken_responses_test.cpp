// Responses that break HTTP/1.1 (RFC 9112), sent by an upstream to a router process. A caller must
// never get one as an answer: its status, its fields or a body other than the upstream's.

#include "router_deployment.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <mutex>

using namespace poplardrift::tests;
using namespace std::chrono_literals;

namespace
{

const std::string seal = "Poplardrift-Runner-Seal: s\r\n";
/// Announced by sound responses, since the upstreams close each connection: a request that must not
/// be repeated would fail on one that closes at that moment.
const std::string close_field = "Connection: close\r\n";
const std::string whole_response =
    "HTTP/1.1 200 OK\r\n" + seal + close_field + "Content-Length: 5\r\n\r\nwhole";

/// Room for the bodies of all uploads at once.
constexpr process_limits upload_limits{1024, 700};

/// An upstream that answers each request with the bytes that the test sets, in one piece or byte by
/// byte, and then closes the connection.
class replaying_upstream final
{
public:
    replaying_upstream() : server([this](peer_connection& peer) { this->serve(peer); }) {}

    auto set_response(std::string bytes, bool in_pieces) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->response = std::move(bytes);
        this->is_in_pieces = in_pieces;
    }
    [[nodiscard]] auto address() const -> boost::asio::ip::tcp::endpoint
    {
        return this->server.address();
    }
    [[nodiscard]] auto requests() const -> int { return this->request_count; }

private:
    auto serve(peer_connection& peer) -> void
    {
        if (peer.read_request().empty())
        {
            return;
        }
        ++this->request_count;
        std::string bytes;
        bool in_pieces = false;
        {
            const std::lock_guard lock(this->mutex);
            bytes = this->response;
            in_pieces = this->is_in_pieces;
        }
        if (!in_pieces)
        {
            peer.send(bytes);
        }
        for (std::size_t at = 0; in_pieces && at < bytes.size(); ++at)
        {
            peer.send(bytes.substr(at, 1));
            std::this_thread::sleep_for(200us);
        }
        peer.close();
    }

    std::mutex mutex;
    std::string response = whole_response;
    bool is_in_pieces = false;
    std::atomic<int> request_count{0};
    scripted_server server;
};

/// A router process with one such upstream.
class replaying_deployment final
{
public:
    replaying_deployment() : fleet({this->upstream.address()}, {}) { this->await_whole_answer(); }

    auto fetch(const std::string& path) -> received_response
    {
        auto caller = connect_to(this->fleet.router.callers);
        caller.send("GET " + path + " HTTP/1.1\r\n" + caller_fields + "Connection: close\r\n\r\n");
        return caller.read_response(4000ms);
    }
    /// Asks until a whole response is answered, so that faults of earlier responses are forgotten.
    auto await_whole_answer() -> void
    {
        constexpr int attempts = 100;
        this->upstream.set_response(whole_response, false);
        for (int attempt = 0; attempt < attempts; ++attempt)
        {
            const auto answer = this->fetch("/safe/x");
            if (answer.status == 200 && answer.body == "whole")
            {
                return;
            }
            std::this_thread::sleep_for(100ms);
        }
        FAIL("no whole response is answered");
    }
    /// Has the upstream send these bytes to a request that must not be repeated.
    auto check_is_no_answer(const std::string& bytes, const std::string& path) -> void
    {
        for (const auto in_pieces : {false, true})
        {
            this->await_whole_answer();
            this->upstream.set_response(bytes, in_pieces);
            const auto requests_before = this->upstream.requests();
            const auto answer = this->fetch(path);
            CAPTURE(bytes, path, in_pieces);
            CHECK(answer.status == 502);
            CHECK(this->upstream.requests() == requests_before + 1);
        }
    }
    auto check_is_no_answer(const std::string& bytes) -> void
    {
        this->check_is_no_answer(bytes, "/once/x");
        this->check_is_no_answer(bytes, "/stream/x");
    }

    replaying_upstream upstream;
    router_deployment fleet;
};

/// An upstream that reads a part of an upload, sends whole events of a response without a length
/// and resets the connection in the same moment.
class resetting_upstream final
{
public:
    resetting_upstream() : server([this](peer_connection& peer) { this->serve(peer); }) {}

    [[nodiscard]] auto address() const -> boost::asio::ip::tcp::endpoint
    {
        return this->server.address();
    }
    [[nodiscard]] auto resets() const -> int { return this->reset_count; }
    std::atomic<bool> is_sound{true};

private:
    auto serve(peer_connection& peer) -> void
    {
        if (this->is_sound)
        {
            static_cast<void>(peer.read_request());
            peer.send(whole_response);
            peer.close();
            return;
        }
        respond_and_reset(peer,
                          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + seal +
                              "\r\nid: 1\ndata: " + std::string(6000, 'a') + "\n\n",
                          response_end::reset, max_body_bytes,
                          static_cast<std::size_t>(this->reset_count++));
    }

    std::atomic<int> reset_count{0};
    scripted_server server;
};

} // namespace

TEST_CASE("a status that HTTP does not have reaches no caller")
{
    replaying_deployment host;
    for (const auto* const status : {"000", "099", "600"})
    {
        host.check_is_no_answer(std::string("HTTP/1.1 ") + status + " Unknown\r\n" + seal +
                                "Content-Length: 4\r\n\r\noops");
    }
}

TEST_CASE("a field name with a blank or a control byte reaches no caller")
{
    replaying_deployment host;
    std::vector<std::string> lines = {" Content-Length: 2", "Content-Length : 2"};
    constexpr int delete_code = 0x7f;
    for (int code = 0; code <= delete_code; ++code)
    {
        const std::string byte(1, static_cast<char>(code));
        if (code <= ' ' || code == delete_code)
        {
            lines.insert(lines.end(),
                         {byte + "X-Note: a", "X-" + byte + "Note: a", "X-Note" + byte + ": a"});
        }
    }
    for (const auto& line : lines)
    {
        host.check_is_no_answer(
            "HTTP/1.1 200 OK\r\n" + seal + line + "\r\nContent-Length: 4\r\n\r\noops", "/once/x");
    }
    host.check_is_no_answer("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + seal +
                                " X-Note: a\r\n\r\nid: 1\ndata: a\n\n",
                            "/stream/x");
}

TEST_CASE("a response whose framing is faulty reaches no caller")
{
    replaying_deployment host;
    host.check_is_no_answer("HTTP/1.0 200 OK\r\n" + seal +
                            "Transfer-Encoding: chunked\r\n\r\n4\r\noops\r\n0\r\n\r\n");
    host.check_is_no_answer("HTTP/1.1 204 No Content\r\n" + seal + "Content-Length: 4\r\n\r\noops");
    host.check_is_no_answer("HTTP/1.1 103 Early Hints\r\nContent-Length: " +
                            std::to_string(whole_response.size()) + "\r\n\r\n" + whole_response);
}

TEST_CASE("responses that a sound server may send reach the caller")
{
    replaying_deployment host;
    const std::string ok = "HTTP/1.1 200 OK\r\n" + seal + close_field;
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n";
    for (const auto& bytes :
         {whole_response, ok + "\r\nwhole", "HTTP/1.0 200 OK\r\n" + seal + "\r\nwhole",
          "HTTP/1.0 200 OK\r\n" + seal + "Content-Length: 5\r\n\r\nwhole",
          "HTTP/1.1 200 \r\n" + seal + close_field + "Content-Length: 5\r\n\r\nwhole",
          ok + "X-Empty:\r\nX-Note: \xe4 a\tb\r\nContent-Length: 5\r\n\r\nwhole",
          chunked + "\r\n5\r\nwhole\r\n0\r\n\r\n",
          chunked + "\r\n2;a=b;c=\"d e\"\r\nwh\r\n3\r\nole\r\n0\r\nX-Trailer: a\r\n\r\n",
          "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + whole_response})
    {
        for (const auto in_pieces : {false, true})
        {
            host.upstream.set_response(bytes, in_pieces);
            const auto requests_before = host.upstream.requests();
            const auto answer = host.fetch("/once/x");
            CAPTURE(bytes, in_pieces);
            CHECK(host.upstream.requests() == requests_before + 1);
            CHECK(answer.status == 200);
            CHECK(answer.is_complete);
            CHECK(answer.body == "whole");
        }
    }
    host.upstream.set_response("HTTP/1.1 204 No Content\r\n" + seal + "Content-Length: 0\r\n\r\n",
                               false);
    CHECK(host.fetch("/once/x").status == 204);
}

TEST_CASE("an early response reaches the caller though its upstream reads no more of the upload")
{
    constexpr auto bound = 1500ms; // the upstream holds the connection for longer
    const std::string without_length = "HTTP/1.1 200 OK\r\n" + seal + "\r\nwhole";
    for (const auto& response : {whole_response, without_length})
    {
        scripted_server upstream(
            [&](peer_connection& peer)
            {
                static_cast<void>(peer.read_until("\r\n\r\n", 2000ms));
                peer.send(response);
                if (response == without_length)
                {
                    peer.shut_down_sending();
                }
                std::this_thread::sleep_for(2 * bound);
            });
        router_deployment fleet({upstream.address()}, upload_limits);
        received_response answer;
        for (int attempt = 0; attempt < 50 && answer.status != 200; ++attempt)
        {
            // Until the router has read its configuration it answers 503 or is not there.
            std::this_thread::sleep_for(100ms);
            auto caller = connect_to(fleet.router.callers);
            caller.send("POST /once/x HTTP/1.1\r\n" + caller_fields +
                        "Content-Length: " + std::to_string(max_body_bytes) + "\r\n\r\n" +
                        std::string(max_body_bytes, 'x'));
            answer = caller.read_response(bound);
        }
        CAPTURE(response);
        CHECK(upstream.connections() == 1);
        CHECK(answer.status == 200);
        CHECK(answer.is_complete);
        CHECK(answer.body == "whole");
    }
}

TEST_CASE(
    "a response without a length that is reset during its upload reaches no caller as a whole one")
{
    constexpr int uploads_at_once = 24;
    constexpr int rounds = 10;
    resetting_upstream upstream;
    router_deployment fleet({upstream.address()}, upload_limits);
    const auto upload = [&](const std::string& path)
    {
        auto caller = connect_to(fleet.router.callers);
        caller.send("POST " + path + " HTTP/1.1\r\n" + caller_fields + "Content-Length: " +
                    std::to_string(max_body_bytes) + "\r\n\r\n" + std::string(max_body_bytes, 'x'));
        return caller.read_response(4000ms);
    };
    const auto await_whole_answer = [&]
    {
        upstream.is_sound = true;
        for (int attempt = 0; attempt < 100; ++attempt)
        {
            if (upload("/once/x").status == 200)
            {
                return;
            }
            std::this_thread::sleep_for(100ms);
        }
        FAIL("no whole response is answered");
    };
    int taken = 0;
    for (int round = 0; round < rounds; ++round)
    {
        await_whole_answer();
        upstream.is_sound = false;
        std::vector<std::future<received_response>> answers;
        for (int number = 0; number < uploads_at_once; ++number)
        {
            const auto* const path = number % 2 == 0 ? "/once/x" : "/stream/x";
            answers.push_back(std::async(std::launch::async, upload, path));
        }
        for (auto& answer : answers)
        {
            const auto response = answer.get();
            taken += response.status == 200 && response.is_complete ? 1 : 0;
        }
    }
    CAPTURE(upstream.resets());
    CHECK(upstream.resets() >= rounds * uploads_at_once / 2);
    CHECK(taken == 0);
}
