#include "internal/Answer.h"

namespace whinyard::router {

namespace {

    constexpr std::string_view requestField = "X-Whinyard-Request";

    void countRefusal(RequestContext& context, ErrorKind kind)
    {
        const std::string name(answerFor(kind).name);
        context.core.parts.metrics.add("whinyard_refusals_total{kind=\"" + name + "\"}");
    }

    std::string describe(const Failure& failure)
    {
        const char* run = failure.runState == RunState::notRun ? ", not run" : "";
        return std::string(answerFor(failure.kind).name) + run + ": " + failure.reason;
    }

}

std::string retryAfterSeconds(std::chrono::milliseconds retryAfter)
{
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(retryAfter).count());
}

void refuse(RequestContext& context, const Failure& failure, net::HttpResponder& responder)
{
    const Failure judged = context.judged(failure);
    countRefusal(context, judged.kind);
    context.record(EventKind::answerRefused, { .reason = describe(judged) });
    net::HttpResponse response;
    response.status = answerFor(judged.kind).httpStatus;
    response.fields = answerFields(context);
    response.fields.push_back({ "Content-Type", "application/json" });
    if (judged.retryAfter.count() > 0)
        response.fields.push_back({ "Retry-After", retryAfterSeconds(judged.retryAfter) });
    response.body = errorBody(judged);
    responder.send(response);
}

std::vector<net::HttpField> answerFields(const RequestContext& context)
{
    return { { std::string(requestField), toText(context.id) } };
}

std::vector<net::HttpField> answerFields(const RequestContext& context, const ChatHead& head)
{
    std::vector<net::HttpField> fields = answerFields(context);
    fields.push_back({ "X-Whinyard-Version", head.version.value });
    fields.push_back({ "X-Whinyard-Session", head.session });
    return fields;
}

bool sendJson(net::HttpResponder& responder, std::vector<net::HttpField> fields, std::string body)
{
    fields.push_back({ "Content-Type", "application/json" });
    return responder.send({ .status = 200, .fields = std::move(fields), .body = std::move(body) });
}

bool beginStream(net::HttpResponder& responder, std::vector<net::HttpField> fields)
{
    fields.push_back({ "Content-Type", "text/event-stream" });
    fields.push_back({ "Cache-Control", "no-cache" });
    return responder.begin({ .status = 200, .fields = std::move(fields), .body = {} });
}

bool writePiece(net::HttpResponder& responder, std::string_view data)
{
    std::string event;
    event.reserve(data.size() + 8);
    event.append("data: ").append(data).append("\n\n");
    return responder.write(event);
}

void endStreamByError(RequestContext& context, const Failure& failure, net::HttpResponder& responder)
{
    const Failure judged = context.judged(failure);
    countRefusal(context, judged.kind);
    context.record(EventKind::answerCut, { .reason = describe(judged) });
    responder.write("event: error\ndata: " + errorBody(judged) + "\n\n");
    responder.end();
}

}
