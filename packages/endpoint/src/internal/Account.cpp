#include "internal/Account.h"

namespace whinyard::endpoint {

namespace {

    constexpr int serviceUnavailable = 503;

}

void fillAccount(const net::HttpCallProgress& progress, AttemptAccount& account)
{
    account.bytesWritten = progress.bytesWritten;
    account.answerStarted = progress.responseStarted;
    account.endsWithConnection = progress.endsWithConnection;
}

void noteStatement(const net::HttpResponse& head, AttemptAccount& account)
{
    const bool asksForRest = head.status == serviceUnavailable;
    account.statement = parseStatement({ .rate = net::fieldValue(head.fields, "X-Rate-Limit"), .leaving = net::fieldValue(head.fields, "X-Leaving"), .rest = asksForRest ? net::fieldValue(head.fields, "Retry-After") : std::string_view() });
}

bool isLeavingRefusal(const net::HttpResponse& response)
{
    return response.status == serviceUnavailable && net::fieldValue(response.fields, "X-Leaving") == "1";
}

void refuseAsLeaving(AttemptAccount& account, Failure& failure)
{
    account.refusedAsLeaving = true;
    failure = { .kind = ErrorKind::noEndpoint, .reason = "the endpoint is leaving" };
}

}
