// Answers GET /v1/models: the names that a customer may use as a model.
#pragma once

#include "internal/RequestContext.h"
#include "whinyard/net/HttpServer.h"

namespace whinyard::router {

void answerModels(RequestContext& context, const config::Customer& customer, net::HttpResponder& responder);

}
