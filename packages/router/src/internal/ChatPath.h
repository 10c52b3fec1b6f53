// The path of a chat completion: session, version or cascade, dispatch, answer and bill.
#pragma once

#include "internal/Answer.h"
#include "internal/CascadeRun.h"
#include "internal/StreamReader.h"
#include "whinyard/policy/SessionPins.h"

namespace whinyard::router {

class ChatPath {
public:
    ChatPath(RequestContext& context, const config::Customer& customer);

    // Answers the request, or refuses it.
    void handle(const net::HttpRequest& request, net::HttpResponder& responder);

private:
    bool resolve(const net::HttpRequest& request, Failure& failure);
    void run(net::HttpResponder& responder);

    // Runs the current step and shows its answer unless it is judged and not accepted. Returns whether the request
    // is over: its answer was shown or cut. A false return with a reason says that the step failed.
    bool runWhole(CascadeRun& cascade, net::HttpResponder& responder, std::optional<Failure>& failed);
    bool runJudgedStream(CascadeRun& cascade, net::HttpResponder& responder, std::optional<Failure>& failed);
    bool relay(const EngineWork& work, net::HttpResponder& responder, std::optional<Failure>& failed);

    // Shows the piece of a stream, or its end with the bill before it. Returns false once the caller is gone.
    bool showPiece(const endpoint::StreamPiece& piece, const EngineWork& work, const TokenUsage& usage, net::HttpResponder& responder);

    // Notes the end of an answer; `text` is rated in the background if it is there.
    void answered(const VersionName& version, bool delivered, std::optional<std::string> text);

    // Bills the pieces that a caller took who went away, unless the whole answer is billed already.
    void callerGone(const VersionName& version, const TokenUsage& usage);

    // Pins the session to the version that answers, and returns the fields of the answer.
    std::vector<net::HttpField> headFor(const VersionName& version);

    EngineWork workFor(const VersionName& version) const;

    RequestContext& m_context;
    const config::Customer& m_customer;
    ChatRequest m_chat;
    policy::Session m_session;
    policy::VersionChoice m_choice;
    std::string m_application;
    std::vector<std::uint64_t> m_prefix;
    std::uint64_t m_delivered = 0; // Bytes of an answer that the caller took.
    std::uint64_t m_deliveredPieces = 0;
    bool m_billed = false;
};

}
