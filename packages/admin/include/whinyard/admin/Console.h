// The console of forms: plain HTML made here, which works by keyboard and without scripts.
//
// A form session changes one document, step by step, shows it with its differences, and submits it as
// one change. The document travels in the forms, so that any instance can go on with a session.
#pragma once

#include "whinyard/admin/AdminParts.h"
#include "whinyard/net/HttpMessage.h"

#include <string>
#include <vector>

namespace whinyard::admin {

class Console {
public:
    Console(AdminParts parts, std::vector<Operator> operators);

    // Returns whether a path is one of the console's.
    static bool owns(std::string_view path);

    // Answers one request; it suspends the calling fiber while the parts work.
    net::HttpResponse answer(const net::HttpRequest& request);

private:
    using Handler = net::HttpResponse (Console::*)(const net::HttpRequest&, const Operator&);

    struct Route {
        std::string_view method;
        std::string_view path;
        Role role;
        Handler handler;
    };

    static const Route* findRoute(const net::HttpRequest& request);

    net::HttpResponse overview(const net::HttpRequest& request, const Operator& caller);
    net::HttpResponse newSession(const net::HttpRequest& request, const Operator& caller);
    net::HttpResponse editSession(const net::HttpRequest& request, const Operator& caller);
    net::HttpResponse submit(const net::HttpRequest& request, const Operator& caller);
    net::HttpResponse status(const net::HttpRequest& request, const Operator& caller);
    net::HttpResponse history(const net::HttpRequest& request, const Operator& caller);
    net::HttpResponse revision(const net::HttpRequest& request, const Operator& caller);
    net::HttpResponse trace(const net::HttpRequest& request, const Operator& caller);
    net::HttpResponse bill(const net::HttpRequest& request, const Operator& caller);

    std::string tokenOf(const Operator& caller) const;

    AdminParts m_parts;
    std::vector<Operator> m_operators;
    const std::string m_secret; // Of this process; keys the tokens against requests forged by other sites.
};

}
