#include "platform/log_client.hpp"

#include "scripted_peers.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace poplardrift;

namespace
{

/// A log that answers each request with the same bytes and closes the connection.
class replaying_log final
{
public:
    explicit replaying_log(std::string response)
        : server(
              [response = std::move(response)](tests::peer_connection& peer)
              {
                  static_cast<void>(peer.read_request());
                  peer.send(response);
                  peer.close();
              }),
          client({"127.0.0.1", this->server.address().port(), ""})
    {
    }

    tests::scripted_server server;
    log_client client;
};

const std::string page = R"({"first":0,"next":0,"records":[]})";
const std::string length = "Content-Length: " + std::to_string(page.size()) + "\r\n";

} // namespace

TEST_CASE("a response of the log with an invalid head proves nothing")
{
    for (const auto& head :
         {"HTTP/1.1 200 OK\r\n X: a\r\n" + length, "HTTP/1.1 200 OK\r\nX\x01: a\r\n" + length,
          "HTTP/1.1 200 OK\r\n" + length + "Transfer-Encoding: gzip\r\n",
          "HTTP/1.1 000 Unknown\r\n" + length})
    {
        CAPTURE(head);
        replaying_log log(head + "\r\n" + page);
        CHECK(log.client.append("s", {}) == append_result::lost);
        CHECK_FALSE(log.client.read("s", log_offset{0}, duration{}));
    }
    replaying_log log("HTTP/1.1 200 OK\r\n" + length + "\r\n" + page);
    CHECK(log.client.append("s", {}) == append_result::appended);
    CHECK(log.client.read("s", log_offset{0}, duration{}));
}
