// Case 2: a request whose Transfer-Encoding doesn't end in "chunked" is run with an empty body, and the bytes of its body are run as
// a request of their own.
#include "Harness.h"

using namespace review;

namespace {

std::mutex mutex;
std::map<std::string, std::string> ran; // What each request brought with it, by id.

std::string chunk(const std::string& bytes)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

}

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    record.open(argc > 1 ? argv[1] : "record.txt");
    Site site;
    site.store.write("op/config", configuration(3, siteRoutes()).dump());
    const auto answer = [](Engine& engine, Wire& wire, const Request& request) {
        {
            const std::lock_guard lock(mutex);
            ran[request.fields.get("X-Request-Id")] = request.body;
        }
        engine.answerWhole(wire, request, "done");
    };
    for (int i = 0; i < 4; ++i)
        site.addEngine({ "i-app-" + std::to_string(i), "app", i % 2 ? "hall-a" : "hall-b", 6 }, answer);
    site.startAll();
    if (!site.awaitReady()) {
        std::cout << "the daemons did not become ready\n";
        return 2;
    }
    int smuggled = 0;
    int changed = 0;
    int sound = 0;
    const std::vector<std::string> codings = hasTrouble() ? std::vector<std::string> { "identity", "gzip", "chunked, identity", "x-unknown" } : std::vector<std::string>(4, "chunked");
    for (int round = 0; round < 8; ++round) {
        const std::string& coding = codings[static_cast<std::size_t>(round) % codings.size()];
        const Request outer = makeRequest("POST", "/once/2f", 1'500);
        const std::string outerId = outer.fields.get("X-Request-Id");
        const std::string innerId = "inner-" + std::to_string(round);
        // Text that a user entered, a stored message say. No client sends it as a request.
        const std::string body = "POST /once/cancel HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + innerId + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token key-1\r\nContent-Length: 0\r\n\r\n";
        std::string message = outer.method + " " + outer.target + " HTTP/1.1\r\n";
        for (const auto& [name, value] : outer.fields)
            message += name + ": " + value + "\r\n";
        message += "Transfer-Encoding: " + coding + "\r\n\r\n" + (coding == "chunked" ? chunk(body) + "0\r\n\r\n" : body);
        record.note("sent " + outerId + " Transfer-Encoding: " + coding + ", body of " + std::to_string(body.size()) + " bytes that holds the text of " + innerId);
        const auto wire = connectTo(site.front(static_cast<std::size_t>(round) % 3));
        wire->write(message);
        const Reply reply = readReply(*wire, 3s);
        record.note("answered " + outerId + " status " + std::to_string(reply.status));
        while (wire->fill(Clock::now() + 500ms) == 1) { }
        const std::lock_guard lock(mutex);
        const auto outerRun = ran.find(outerId);
        smuggled += ran.contains(innerId);
        changed += outerRun != ran.end() && outerRun->second != body;
        sound += outerRun != ran.end() && outerRun->second == body;
        record.note(innerId + (ran.contains(innerId) ? " was run" : " was not run") + "; " + outerId + (outerRun == ran.end() ? " was not run" : " was run with a body of " + std::to_string(outerRun->second.size()) + " bytes"));
    }
    std::cout << "8 requests: " << smuggled << " times what stood in the body was run as a request, " << changed << " times the request was run with another body, " << sound << " times with its own\n";
    record.note("result: smuggled " + std::to_string(smuggled) + " changed " + std::to_string(changed));
    if (!hasTrouble() && sound == 0)
        return 2;
    return smuggled + changed > 0 ? 1 : 0;
}
