// Sessions that keep their version without any instance keeping state: the router issues a session identity that holds
// the versions chosen so far, under a keyed digest, and every instance reads them back from it.
//
// The router verifies the identity that a caller sends, resolves the requested name to candidate versions, and issues
// the identity anew after the answer has shown which version serves the session.
#pragma once

#include "whinyard/base/Random.h"
#include "whinyard/config/Document.h"
#include "whinyard/policy/VersionJudgement.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whinyard::policy {

// The choice that a session keeps for one requested name (a model, a cascade or "auto").
struct SessionPin {
    std::string requested;
    VersionName version;

    bool operator==(const SessionPin&) const = default;
};

// A session as its identity tells it.
struct Session {
    SessionName name; // 32 random hexadecimal digits; the same for the session's whole life.
    std::vector<SessionPin> pins; // At most maximumPins, the oldest first.

    // Returns the version kept for `requested`, or null.
    const VersionName* pinned(std::string_view requested) const;

    // Keeps `version` for `requested` from now on. Beyond maximumPins the oldest pin of another name is dropped.
    void pin(std::string_view requested, const VersionName& version);

    static constexpr std::size_t maximumPins = 8;

    bool operator==(const Session&) const = default;
};

// A key of the fleet, by its number. The first key of a list signs, all verify.
struct SessionKey {
    std::uint32_t number = 0;
    std::string secret;
};

// Begins a session with a random name. The name is an identity, not a secret: the digest keeps others from using it.
Session newSession(Random& random);

// Writes and reads session identities.
//
// Format: "1.<key number>.<base64 of payload>.<base64 of digest>". The payload is the session's 16 random bytes, the
// number of pins, then for each pin a length byte and the requested name, a length byte and the version. The digest is
// HMAC-SHA-256 (RFC 2104, by OpenSSL) over the customer's name, a zero byte and everything that stands before the last
// dot, so an identity serves only the customer it was issued to. It has no expiry: what a session may use is decided
// by the configuration at each request.
class SessionPins {
public:
    explicit SessionPins(std::vector<SessionKey> keys);

    // Returns the identity of `session`, at most maximumLength bytes. Pins whose names are longer than 255 bytes, and
    // the oldest ones that would exceed the length, are left out. Returns nothing without a key.
    std::optional<std::string> issue(const CustomerName& customer, const Session& session) const;

    // Reads an identity. One that is forged, truncated, too long, of another customer, of another format or under an
    // unknown key is refused with malformedRequest; the digest is compared in constant time.
    std::optional<Session> verify(const CustomerName& customer, std::string_view identity, Failure& failure) const;

    static constexpr std::size_t maximumLength = 1'024;

private:
    const SessionKey* keyNumbered(std::uint32_t number) const;

    std::vector<SessionKey> m_keys;
};

// Why the candidates of a request are what they are.
enum class VersionReason : std::uint8_t {
    named, // The caller named the version.
    onlyVersion, // No roll-out concerns the model.
    rolloutOld, // The roll-out's share left this new session on the old version.
    rolloutNew, // The roll-out's share gave this new session the new version.
    cascade, // The steps of a cascade, or of "auto", from cheap to strong.
    kept, // The session keeps its version.
    movedWithdrawn, // The session's version was withdrawn, or is no longer allowed to its customer.
    movedStopped, // The session's version was found bad.
};

// Returns the enumerator's name.
std::string_view toText(VersionReason reason);

// A candidate that is on trial: where time and the rating service allow, its answer is judged before it is shown, and
// below the judge's bad mark the fallback answers in its place. So a new session isn't bound to a version that began
// with a bad answer, and the test of the version needn't wait for its ratings.
struct TrialGuard {
    VersionName version;
    VersionName fallback; // The old version of the roll-out.

    bool operator==(const TrialGuard&) const = default;
};

// The versions that may answer a request, with the reason.
struct VersionChoice {
    std::vector<VersionName> candidates; // Never empty. In order: for a cascade its permitted steps from cheap to strong.
    VersionReason reason = VersionReason::named;
    std::optional<VersionName> movedFrom; // Set with movedWithdrawn and movedStopped.
    double qualityTarget = 0; // Of a cascade; 0 where only one version is to answer.
    std::optional<TrialGuard> guard; // Only for a session that has no version yet.
    bool pins = false; // Whether the session is to keep the version that answers.

    bool cascaded() const { return candidates.size() > 1; }
};

// The name with which a caller leaves the choice of the model to the router: a cascade over all models.
inline constexpr std::string_view automaticModel = "auto";

// The quality target of "auto", which no operator states.
inline constexpr double automaticQualityTarget = 0.8;

// Resolves `requested`, the name of a version, model or cascade, or "auto", to the versions that may answer, for a
// `customer` of the configuration and its `session` (null at the first request).
//
// A name that leaves the choice to the router never yields a version that is withdrawn, not allowed to the customer or
// stopped; where every permitted version of a name is stopped, they are offered all the same, since a refusal would
// serve nobody. A version that the caller names itself is only refused if it is withdrawn or not allowed. A session
// keeps its version unless that version was withdrawn, disallowed or stopped: shares never move it.
//
// A cascade is only for the customers whose configuration lists it.
//
// Fills `failure` with unknownModel, versionNotAllowed or versionWithdrawn, run state notRun.
std::optional<VersionChoice> resolveVersion(const config::Configuration& configuration, const config::Customer& customer, std::string_view requested, const Session* session, const VersionJudgement& judgement, Random& random, Failure& failure);

}
