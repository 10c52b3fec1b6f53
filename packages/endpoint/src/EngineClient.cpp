#include "whinyard/endpoint/EngineClient.h"

#include "internal/Account.h"
#include "whinyard/base/Json.h"
#include "whinyard/endpoint/EventStream.h"
#include "whinyard/endpoint/PieceSequence.h"

namespace whinyard::endpoint {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusNoContent = 204;
    constexpr int statusUnavailable = 503;
    constexpr std::chrono::milliseconds shortCallTimeout { 1'000 };

    net::HttpRequest chatRequest(const EngineCall& call)
    {
        return {
            .method = "POST",
            .target = "/v1/chat/completions",
            .fields = { { "Content-Type", "application/json" }, { attemptField, toText(call.attempt) } },
            .body = call.body,
        };
    }

    net::HttpRequest bareRequest(std::string method, std::string target)
    {
        return { .method = std::move(method), .target = std::move(target), .fields = {}, .body = {} };
    }

    std::string streamTarget(const AttemptId& attempt)
    {
        return "/v1/streams/" + toText(attempt);
    }

    net::HttpCallOptions optionsOf(const EngineCall& call)
    {
        return { .timeout = call.timeout, .pieceTimeout = call.pieceTimeout, .cancellation = call.cancellation };
    }

    // Names the failure that an answer with a status other than 200 stands for.
    void failByStatus(const net::HttpResponse& response, AttemptAccount& account, Failure& failure)
    {
        if (isLeavingRefusal(response)) {
            refuseAsLeaving(account, failure);
            return;
        }
        failure.kind = response.status == statusUnavailable ? ErrorKind::overloaded : ErrorKind::endpointFailed;
        failure.reason = "the engine answered with status " + std::to_string(response.status);
        failure.runState = runStateOf(account);
    }

    // An engine without a connection is a failed endpoint to callers, not an instance that can't be reached.
    void noteLostCall(const AttemptAccount& account, Failure& failure)
    {
        if (failure.kind == ErrorKind::peerUnreachable)
            failure.kind = ErrorKind::endpointFailed;
        failure.runState = runStateOf(account);
    }

    std::optional<EngineAnswer> parseAnswer(std::string body, Failure& failure)
    {
        const nlohmann::json json = parseUntrustedJson(body);
        if (!json.is_object() || !json.contains("choices")) {
            failure = { .kind = ErrorKind::endpointFailed, .reason = "the engine's answer is no chat completion", .runState = RunState::unknown };
            return std::nullopt;
        }
        static const nlohmann::json::json_pointer content("/choices/0/message/content");
        EngineAnswer answer { .body = std::move(body), .text = {} };
        if (json.contains(content) && json.at(content).is_string())
            answer.text = json.at(content).get<std::string>();
        const auto usage = json.find("usage");
        if (usage == json.end() || !usage->is_object())
            return answer;
        const auto number = [&usage](const char* name) {
            const auto value = usage->find(name);
            return value != usage->end() && value->is_number_unsigned() ? value->get<std::uint64_t>() : 0;
        };
        answer.promptTokens = number("prompt_tokens");
        answer.completionTokens = number("completion_tokens");
        return answer;
    }

    std::optional<LoadReport> parseLoad(const std::string& body, Failure& failure)
    {
        const nlohmann::json json = parseUntrustedJson(body);
        if (!json.is_object()) {
            failure = { .kind = ErrorKind::endpointFailed, .reason = "the load report is no JSON object" };
            return std::nullopt;
        }
        const auto number = [&json](const char* name) {
            const auto value = json.find(name);
            return value != json.end() && value->is_number() ? value->get<double>() : 0.0;
        };
        LoadReport report;
        report.queued = static_cast<std::uint32_t>(number("queued"));
        report.running = static_cast<std::uint32_t>(number("running"));
        report.slots = std::max(1U, static_cast<std::uint32_t>(number("slots")));
        report.step = std::chrono::microseconds(static_cast<std::int64_t>(number("stepMs") * 1'000));
        report.asOf = std::chrono::milliseconds(static_cast<std::int64_t>(number("asOfMs")));
        const auto prefixes = json.find("prefixes");
        if (prefixes == json.end() || !prefixes->is_array())
            return report;
        for (const nlohmann::json& prefix : *prefixes) {
            if (prefix.is_number_unsigned())
                report.prefixes.push_back(prefix.get<std::uint64_t>());
            else if (prefix.is_string())
                report.prefixes.push_back(stableHash(prefix.get_ref<const std::string&>()));
        }
        return report;
    }

    class HttpEngineStream final : public EngineStream {
    public:
        HttpEngineStream(std::unique_ptr<net::HttpStream> stream, const AttemptId& attempt, std::uint64_t from, DropObserver dropped)
            : m_stream(std::move(stream))
            , m_sequence(attempt, from)
            , m_dropped(std::move(dropped))
        {
        }

        std::optional<StreamPiece> next(Failure& failure) override
        {
            while (true) {
                while (std::optional<ServerSentEvent> event = m_parser.next()) {
                    std::string reason;
                    switch (m_sequence.judge(*event, reason)) {
                    case PieceVerdict::deliver:
                        return StreamPiece { .offset = m_sequence.next() - 1, .data = std::move(event->data) };
                    case PieceVerdict::end:
                        return StreamPiece { .offset = m_sequence.next(), .data = {}, .end = true };
                    case PieceVerdict::drop:
                        m_dropped(reason);
                        break;
                    case PieceVerdict::gap:
                        failure = { .kind = ErrorKind::endpointFailed, .reason = reason, .runState = RunState::unknown };
                        return std::nullopt;
                    }
                }
                if (!fill(failure))
                    return std::nullopt;
            }
        }

        void cancel() override { m_stream->cancel(); }

    private:
        // Reads once from the connection; its end without an end mark is a failure.
        bool fill(Failure& failure)
        {
            const std::optional<std::string> bytes = m_stream->read(failure);
            if (bytes && !bytes->empty())
                return m_parser.feed(*bytes, failure);
            if (bytes)
                failure = { .kind = ErrorKind::endpointFailed, .reason = "the stream ended without its end mark" };
            failure.runState = RunState::unknown;
            return false;
        }

        std::unique_ptr<net::HttpStream> m_stream;
        EventStreamParser m_parser;
        PieceSequence m_sequence;
        DropObserver m_dropped;
    };

    class HttpEngineClient final : public EngineClient {
    public:
        explicit HttpEngineClient(net::HttpClient& client)
            : m_client(client)
        {
        }

        std::optional<EngineAnswer> complete(const EngineCall& call, AttemptAccount& account, Failure& failure) override
        {
            net::HttpCallProgress progress;
            std::optional<net::HttpResponse> response = m_client.call(call.engine, chatRequest(call), optionsOf(call), progress, failure);
            fillAccount(progress, account);
            if (!response) {
                noteLostCall(account, failure);
                return std::nullopt;
            }
            noteStatement(*response, account);
            if (response->status != statusOk) {
                failByStatus(*response, account, failure);
                return std::nullopt;
            }
            std::optional<EngineAnswer> answer = parseAnswer(std::move(response->body), failure);
            account.answeredWhole = answer.has_value();
            return answer;
        }

        std::unique_ptr<EngineStream> open(const EngineCall& call, const DropObserver& dropped, AttemptAccount& account, Failure& failure) override
        {
            net::HttpCallProgress progress;
            std::unique_ptr<net::HttpStream> stream = m_client.open(call.engine, chatRequest(call), optionsOf(call), progress, failure);
            fillAccount(progress, account);
            if (!stream) {
                noteLostCall(account, failure);
                return nullptr;
            }
            noteStatement(stream->head(), account);
            if (stream->head().status != statusOk) {
                failByStatus(stream->head(), account, failure);
                return nullptr;
            }
            return std::make_unique<HttpEngineStream>(std::move(stream), call.attempt, 0, dropped);
        }

        std::unique_ptr<EngineStream> resume(const EngineCall& call, std::uint64_t from, const DropObserver& dropped, Failure& failure) override
        {
            const net::HttpRequest request = bareRequest("GET", streamTarget(call.attempt) + "?from=" + std::to_string(from));
            net::HttpCallProgress progress;
            std::unique_ptr<net::HttpStream> stream = m_client.open(call.engine, request, optionsOf(call), progress, failure);
            failure.runState = RunState::unknown;
            if (!stream)
                return nullptr;
            if (stream->head().status != statusOk) {
                failure.kind = ErrorKind::endpointFailed;
                failure.reason = "the engine resumes no such stream: status " + std::to_string(stream->head().status);
                return nullptr;
            }
            return std::make_unique<HttpEngineStream>(std::move(stream), call.attempt, from, dropped);
        }

        bool cancel(const net::Address& engine, const AttemptId& attempt, Failure& failure) override
        {
            const net::HttpRequest request = bareRequest("DELETE", streamTarget(attempt));
            net::HttpCallProgress progress;
            const std::optional<net::HttpResponse> response = m_client.call(engine, request, { .timeout = shortCallTimeout }, progress, failure);
            return response && (response->status == statusOk || response->status == statusNoContent);
        }

        std::optional<LoadReport> load(const net::Address& engine, Failure& failure) override
        {
            net::HttpCallProgress progress;
            const std::optional<net::HttpResponse> response = m_client.call(engine, bareRequest("GET", "/load"), { .timeout = shortCallTimeout }, progress, failure);
            if (!response)
                return std::nullopt;
            if (response->status == statusOk)
                return parseLoad(response->body, failure);
            failure = { .kind = ErrorKind::endpointFailed, .reason = "no load report: status " + std::to_string(response->status) };
            return std::nullopt;
        }

    private:
        net::HttpClient& m_client;
    };

}

std::unique_ptr<EngineClient> makeHttpEngineClient(net::HttpClient& client)
{
    return std::make_unique<HttpEngineClient>(client);
}

}
