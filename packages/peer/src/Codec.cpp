#include "whinyard/peer/Codec.h"

#include "internal/ReplayWindow.h"
#include "internal/WireCalls.h"

#include <algorithm>
#include <array>
#include <map>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace whinyard::peer {

namespace {

    using namespace internal;

    constexpr std::size_t digestBytes = 32;
    constexpr std::size_t largestSenderCount = 8'192; // Beyond it the sender silent for longest is forgotten.

    using Digest = std::array<unsigned char, digestBytes>;

    // What a message is for; a message made for one use doesn't pass for another.
    enum class Use : std::uint8_t {
        heartbeat,
        request,
        answer,
    };

    // Stands before the content of every message. The digest over envelope and content stands at the end.
    struct Envelope {
        std::uint16_t version = protocolVersion;
        Use use = Use::heartbeat;
        std::uint32_t key = 0;
        Sender sender;
        InstanceName recipient;
        std::uint64_t sequence = 0;
        std::uint64_t call = 0; // The request's, and its answer's.
        std::chrono::microseconds sentAt { 0 }; // On the wall clock.
    };

    template <typename Archive>
    void serialize(Archive& archive, Envelope& envelope)
    {
        archive(choice(envelope.use, Use::answer), envelope.key, envelope.sender.instance, envelope.sender.incarnation);
        archive(envelope.recipient, envelope.sequence, envelope.call, envelope.sentAt);
    }

    Digest digestOf(const PeerKey& key, std::string_view bytes)
    {
        Digest digest {};
        unsigned int size = 0;
        HMAC(EVP_sha256(), key.secret.data(), static_cast<int>(key.secret.size()), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data(), &size);
        return digest;
    }

    // What is remembered of a sender.
    struct SenderRecord {
        Incarnation incarnation;
        ReplayWindow datagrams;
        ReplayWindow frames;
        SteadyTime heardAt;
    };

}

std::string_view toText(DropReason reason)
{
    switch (reason) {
    case DropReason::oversize:
        return "oversize";
    case DropReason::truncated:
        return "truncated";
    case DropReason::foreignVersion:
        return "foreignVersion";
    case DropReason::unknownKey:
        return "unknownKey";
    case DropReason::forged:
        return "forged";
    case DropReason::misdirected:
        return "misdirected";
    case DropReason::replayed:
        return "replayed";
    case DropReason::tooOld:
        return "tooOld";
    case DropReason::malformed:
        return "malformed";
    }
    return "malformed";
}

struct Codec::State {
    Sender self;
    std::vector<PeerKey> keys;
    const Clock& clock;
    Metrics& metrics;
    std::uint64_t datagramSequence = 0;
    std::uint64_t frameSequence = 0;
    std::uint64_t lastCall = 0;
    std::map<InstanceName, SenderRecord> senders;

    void drop(DropReason reason) { metrics.add("whinyard_peer_dropped_total{reason=\"" + std::string(toText(reason)) + "\"}"); }

    std::chrono::microseconds wallNow() const { return std::chrono::duration_cast<std::chrono::microseconds>(clock.wallNow().time_since_epoch()); }

    template <typename Content>
    std::optional<std::string> seal(Use use, const InstanceName& recipient, std::uint64_t call, const Content& content, std::size_t limit)
    {
        Envelope envelope { protocolVersion, use, keys.front().number, self, recipient, 0, call, wallNow() };
        envelope.sequence = use == Use::heartbeat ? ++datagramSequence : ++frameSequence;
        Writer writer;
        try {
            writer(envelope.version, envelope, content);
        } catch (const MalformedMessage&) {
            return std::nullopt;
        }
        std::string bytes = writer.take();
        if (bytes.size() + digestBytes > limit)
            return std::nullopt;
        const Digest digest = digestOf(keys.front(), bytes);
        bytes.append(reinterpret_cast<const char*>(digest.data()), digest.size());
        return bytes;
    }

    // Checks everything but the content. Returns the reader at the content's first byte in `reader`.
    std::optional<DropReason> check(std::string_view bytes, Use use, std::size_t limit, Envelope& envelope, std::optional<Reader>& reader)
    {
        if (bytes.size() > limit)
            return DropReason::oversize;
        if (bytes.size() <= digestBytes)
            return DropReason::truncated;
        const std::string_view signedBytes = bytes.substr(0, bytes.size() - digestBytes);
        try {
            reader.emplace(signedBytes);
            (*reader)(envelope.version);
            if (envelope.version < oldestProtocolVersion || envelope.version > protocolVersion)
                return DropReason::foreignVersion;
            (*reader)(envelope);
        } catch (const MalformedMessage&) {
            return DropReason::truncated;
        } catch (const cereal::Exception&) {
            return DropReason::truncated;
        }
        const auto key = std::find_if(keys.begin(), keys.end(), [&](const PeerKey& candidate) { return candidate.number == envelope.key; });
        if (key == keys.end())
            return DropReason::unknownKey;
        if (CRYPTO_memcmp(digestOf(*key, signedBytes).data(), bytes.data() + signedBytes.size(), digestBytes) != 0)
            return DropReason::forged;
        if (envelope.use != use || envelope.recipient != self.instance || envelope.sender.instance == self.instance)
            return DropReason::misdirected;
        return checkReplay(envelope);
    }

    std::optional<DropReason> checkReplay(const Envelope& envelope)
    {
        const auto found = senders.find(envelope.sender.instance);
        const bool isKnown = found != senders.end() && found->second.incarnation == envelope.sender.incarnation;
        if (found != senders.end() && envelope.sender.incarnation < found->second.incarnation)
            return DropReason::replayed;
        if (!isKnown && std::chrono::abs(wallNow() - envelope.sentAt) > maximumAge)
            return DropReason::tooOld;
        SenderRecord& record = isKnown ? found->second : startRecord(envelope.sender);
        ReplayWindow& window = envelope.use == Use::heartbeat ? record.datagrams : record.frames;
        if (!window.take(envelope.sequence))
            return DropReason::replayed;
        record.heardAt = clock.now();
        return std::nullopt;
    }

    SenderRecord& startRecord(const Sender& sender)
    {
        if (senders.size() >= largestSenderCount && !senders.contains(sender.instance)) {
            const auto longest = std::min_element(senders.begin(), senders.end(), [](const auto& left, const auto& right) { return left.second.heardAt < right.second.heardAt; });
            senders.erase(longest);
        }
        SenderRecord& record = senders[sender.instance];
        record = {};
        record.incarnation = sender.incarnation;
        return record;
    }

    template <typename Content>
    bool open(std::string_view bytes, Use use, std::size_t limit, Envelope& envelope, Content& content)
    {
        std::optional<Reader> reader;
        if (const std::optional<DropReason> reason = check(bytes, use, limit, envelope, reader)) {
            drop(*reason);
            return false;
        }
        try {
            (*reader)(content);
        } catch (const MalformedMessage&) {
            drop(DropReason::malformed);
            return false;
        } catch (const cereal::Exception&) {
            drop(DropReason::truncated);
            return false;
        }
        if (reader->left() != 0) {
            drop(DropReason::malformed);
            return false;
        }
        return true;
    }
};

Codec::Codec(Sender self, std::vector<PeerKey> keys, const Clock& clock, Metrics& metrics)
    : m_state(new State { std::move(self), std::move(keys), clock, metrics, 0, 0, 0, {} })
{
    // Calls are numbered from the incarnation's number, so that no two lives share a number.
    m_state->lastCall = m_state->self.incarnation.number;
}

Codec::~Codec() = default;

std::optional<std::string> Codec::seal(const InstanceName& recipient, const Heartbeat& heartbeat)
{
    return m_state->seal(Use::heartbeat, recipient, 0, heartbeat, largestDatagram);
}

std::optional<OpenedHeartbeat> Codec::openHeartbeat(std::string_view bytes)
{
    Envelope envelope;
    OpenedHeartbeat opened;
    if (!m_state->open(bytes, Use::heartbeat, largestDatagram, envelope, opened.heartbeat))
        return std::nullopt;
    const MemberUpdate& stated = opened.heartbeat.self;
    if (stated.name != envelope.sender.instance || stated.incarnation != envelope.sender.incarnation) {
        m_state->drop(DropReason::malformed);
        return std::nullopt;
    }
    opened.sender = envelope.sender;
    return opened;
}

std::optional<SealedRequest> Codec::seal(const InstanceName& recipient, const Request& request)
{
    const std::uint64_t call = ++m_state->lastCall;
    std::optional<std::string> bytes = m_state->seal(Use::request, recipient, call, request, largestFrame);
    if (!bytes)
        return std::nullopt;
    return SealedRequest { call, std::move(*bytes) };
}

std::optional<std::string> Codec::sealAnswer(const InstanceName& recipient, std::uint64_t call, const Response& response)
{
    return m_state->seal(Use::answer, recipient, call, response, largestFrame);
}

std::optional<OpenedRequest> Codec::openRequest(std::string_view bytes)
{
    Envelope envelope;
    OpenedRequest opened;
    if (!m_state->open(bytes, Use::request, largestFrame, envelope, opened.request))
        return std::nullopt;
    opened.sender = envelope.sender;
    opened.call = envelope.call;
    return opened;
}

std::optional<OpenedResponse> Codec::openAnswer(std::string_view bytes, const InstanceName& expected, std::uint64_t call)
{
    Envelope envelope;
    OpenedResponse opened;
    if (!m_state->open(bytes, Use::answer, largestFrame, envelope, opened.response))
        return std::nullopt;
    if (envelope.sender.instance != expected || envelope.call != call) {
        m_state->drop(DropReason::misdirected);
        return std::nullopt;
    }
    opened.sender = envelope.sender;
    return opened;
}

}
