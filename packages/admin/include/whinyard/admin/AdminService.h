// Everything on the administration address: the API, the console, health and metrics.
//
// The daemon passes each request of its administration address here.
#pragma once

#include "whinyard/admin/AdminApi.h"
#include "whinyard/admin/Console.h"

namespace whinyard::admin {

class AdminService {
public:
    AdminService(AdminParts parts, const std::vector<Operator>& operators)
        : m_api(parts, operators)
        , m_console(parts, operators)
    {
    }

    // Answers one request; it suspends the calling fiber while the parts work.
    net::HttpResponse answer(const net::HttpRequest& request)
    {
        return Console::owns(net::pathOf(request.target)) ? m_console.answer(request) : m_api.answer(request);
    }

private:
    AdminApi m_api;
    Console m_console;
};

}
