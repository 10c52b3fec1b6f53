#include "internal/ServicePath.h"

#include "internal/Bill.h"

#include <algorithm>

namespace whinyard::router {

namespace {

    constexpr std::string_view servicesPrefix = "/v1/services/";
    constexpr std::size_t longestKey = 200;

    bool isPrintable(std::string_view text)
    {
        return std::all_of(text.begin(), text.end(), [](unsigned char byte) { return byte > 0x20 && byte < 0x7f; });
    }

    // Takes over the fields that concern the service.
    std::vector<net::HttpField> passedFields(const std::vector<net::HttpField>& fields)
    {
        std::vector<net::HttpField> passed;
        for (const char* name : { "Content-Type", "Accept", "Idempotency-Key" }) {
            const std::string_view value = net::fieldValue(fields, name);
            if (!value.empty())
                passed.push_back({ name, std::string(value) });
        }
        return passed;
    }

}

ServicePath::ServicePath(RequestContext& context)
    : m_context(context)
{
}

void ServicePath::handle(const net::HttpRequest& request, net::HttpResponder& responder)
{
    Failure failure;
    const std::optional<ServiceWork> work = parse(request, failure);
    std::optional<ServiceAnswer> answer;
    if (work)
        answer = work->service.idempotent ? runRepeatable(*work, failure) : KeyedCall(m_context, *work).runSomewhere(failure);
    if (!answer) {
        refuse(m_context, failure, responder);
        return;
    }
    net::HttpResponse response = std::move(answer->response);
    const std::string contentType(net::fieldValue(response.fields, "Content-Type"));
    response.fields = answerFields(m_context);
    response.fields.push_back({ "Content-Type", contentType.empty() ? "application/octet-stream" : contentType });
    if (answer->replayed)
        response.fields.push_back({ replayedField, "1" });
    if (responder.send(response))
        m_context.record(EventKind::answerCompleted, { .amount = response.body.size() });
    else
        m_context.record(EventKind::callerGone, {});
}

std::optional<ServiceWork> ServicePath::parse(const net::HttpRequest& request, Failure& failure) const
{
    const std::string_view rest = std::string_view(request.target).substr(servicesPrefix.size());
    const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
    const ServiceName name { std::string(rest.substr(0, end)) };
    const config::Service* service = config::findService(m_context.configuration->document, name);
    if (!service) {
        failure = { .kind = ErrorKind::unknownService, .reason = "no plain service is named " + name.value };
        return std::nullopt;
    }
    ServiceWork work { .service = *service, .key = std::string(net::fieldValue(request.fields, "Idempotency-Key")), .request = {} };
    if (work.key.empty() && !service->idempotent) {
        failure = { .kind = ErrorKind::keyRequired, .reason = "calls of " + name.value + " may not be repeated: the field Idempotency-Key is required" };
        return std::nullopt;
    }
    if (work.key.size() > longestKey || !isPrintable(work.key)) {
        failure = { .kind = ErrorKind::malformedRequest, .reason = "Idempotency-Key: 1 to " + std::to_string(longestKey) + " printable ASCII characters without spaces are allowed" };
        return std::nullopt;
    }
    work.request.method = request.method;
    work.request.target = rest.substr(end).starts_with('/') ? std::string(rest.substr(end)) : "/" + std::string(rest.substr(end));
    work.request.fields = passedFields(request.fields);
    work.request.body = request.body;
    return work;
}

std::optional<ServiceAnswer> ServicePath::runRepeatable(const ServiceWork& work, Failure& failure)
{
    std::optional<net::HttpResponse> response = ServiceDispatch(m_context, work).run(failure);
    if (!response)
        return std::nullopt;
    bill(m_context, serviceLine(m_context, work.service));
    return ServiceAnswer { std::move(*response), false };
}

}
