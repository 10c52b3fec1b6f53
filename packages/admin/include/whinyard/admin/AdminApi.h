// The administration API: JSON over HTTP on an address of its own. docs/ADMIN.md documents it.
//
// The daemon serves it with net::HttpServer; tests call it directly.
#pragma once

#include "whinyard/admin/AdminParts.h"
#include "whinyard/net/HttpMessage.h"

#include <vector>

namespace whinyard::admin {

class AdminApi {
public:
    // `operators` may use it; with none, only health and metrics answer.
    AdminApi(AdminParts parts, std::vector<Operator> operators);

    // Answers one request; it suspends the calling fiber while the parts work.
    net::HttpResponse answer(const net::HttpRequest& request);

private:
    using Handler = net::HttpResponse (AdminApi::*)(const net::HttpRequest&, const Operator&);

    struct Route {
        std::string_view method;
        std::string_view path;
        Role role;
        Handler handler;
    };

    static const Route* findRoute(const net::HttpRequest& request, bool& pathKnown);

    net::HttpResponse configuration(const net::HttpRequest& request, const Operator& caller);
    net::HttpResponse history(const net::HttpRequest& request, const Operator& caller);
    net::HttpResponse status(const net::HttpRequest& request, const Operator& caller);
    net::HttpResponse check(const net::HttpRequest& request, const Operator& caller);
    net::HttpResponse difference(const net::HttpRequest& request, const Operator& caller);
    net::HttpResponse submit(const net::HttpRequest& request, const Operator& caller);
    net::HttpResponse rollback(const net::HttpRequest& request, const Operator& caller);
    net::HttpResponse trace(const net::HttpRequest& request, const Operator& caller);
    net::HttpResponse bill(const net::HttpRequest& request, const Operator& caller);
    net::HttpResponse billLines(const net::HttpRequest& request, const Operator& caller);
    net::HttpResponse openAnswer(const net::HttpRequest& request);

    AdminParts m_parts;
    std::vector<Operator> m_operators;
};

}
