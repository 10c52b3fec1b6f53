#include "whinyard/net/HttpClient.h"

#include "internal/BeastMessage.h"
#include "internal/HttpExchange.h"
#include "internal/HttpStreamImpl.h"

#include <boost/beast/http.hpp>

namespace whinyard::net {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

    class HttpClientImpl final : public HttpClient {
    public:
        HttpClientImpl(Duty& duty, const HttpClientLimits& limits)
            : m_pool(std::make_shared<internal::ConnectionPool>(duty, limits))
        {
        }

        std::optional<HttpResponse> call(const Address& address, const HttpRequest& request, const HttpCallOptions& options, HttpCallProgress& progress, Failure& failure) override
        {
            const auto pool = m_pool; // The client may be destroyed while this fiber waits.
            internal::HttpExchange exchange(*pool, address, request, options, progress);
            std::unique_ptr<http::response_parser<http::string_body>> parser;
            if (!exchange.start(parser, failure))
                return std::nullopt;
            if (!parser->is_done()) {
                error_code error;
                http::read(exchange.connection().socket, exchange.connection().buffer, *parser, error);
                if (error) {
                    failure = exchange.failureFor(error);
                    return std::nullopt;
                }
            }
            pool->release(address, exchange.releaseConnection(), parser->keep_alive());
            return toPlain(parser->release());
        }

        std::unique_ptr<HttpStream> open(const Address& address, const HttpRequest& request, const HttpCallOptions& options, HttpCallProgress& progress, Failure& failure) override
        {
            const auto pool = m_pool;
            internal::HttpExchange exchange(*pool, address, request, options, progress);
            std::unique_ptr<internal::StreamParser> parser;
            if (!exchange.start(parser, failure))
                return nullptr;
            return std::make_unique<internal::HttpStreamImpl>(pool, address, exchange.releaseConnection(), std::move(parser), options.pieceTimeout);
        }

        HttpConnections connections() const override { return m_pool->connections(); }

    private:
        static HttpResponse toPlain(http::response<http::string_body>&& message)
        {
            HttpResponse response;
            response.status = static_cast<int>(message.result_int());
            response.fields = internal::plainFields(message);
            response.body = std::move(message.body());
            return response;
        }

        const std::shared_ptr<internal::ConnectionPool> m_pool;
    };

}

std::optional<std::string> readToEnd(HttpStream& stream, Failure& failure)
{
    std::string body;
    while (std::optional<std::string> piece = stream.read(failure)) {
        if (piece->empty())
            return body;
        body += *piece;
    }
    return std::nullopt;
}

std::unique_ptr<HttpClient> HttpClient::create(Duty& duty, const HttpClientLimits& limits)
{
    return std::make_unique<HttpClientImpl>(duty, limits);
}

}
