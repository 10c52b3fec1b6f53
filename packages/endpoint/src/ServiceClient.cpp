#include "whinyard/endpoint/ServiceClient.h"

#include "internal/Account.h"

namespace whinyard::endpoint {

namespace {

    class HttpServiceClient final : public ServiceClient {
    public:
        explicit HttpServiceClient(net::HttpClient& client)
            : m_client(client)
        {
        }

        std::optional<net::HttpResponse> call(const ServiceCall& call, AttemptAccount& account, Failure& failure) override
        {
            net::HttpRequest request = call.request;
            request.fields.push_back({ attemptField, toText(call.attempt) });
            const net::HttpCallOptions options { .timeout = call.timeout, .freshConnection = !call.repeatable, .lastRequest = !call.repeatable };
            net::HttpCallProgress progress;
            std::optional<net::HttpResponse> response = m_client.call(call.service, request, options, progress, failure);
            fillAccount(progress, account);
            if (!response) {
                failure.runState = runStateOf(account);
                return std::nullopt;
            }
            noteStatement(*response, account);
            if (isLeavingRefusal(*response)) {
                refuseAsLeaving(account, failure);
                return std::nullopt;
            }
            account.answeredWhole = true;
            return response;
        }

    private:
        net::HttpClient& m_client;
    };

}

std::unique_ptr<ServiceClient> makeHttpServiceClient(net::HttpClient& client)
{
    return std::make_unique<HttpServiceClient>(client);
}

}
