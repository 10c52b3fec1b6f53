#include "internal/Pages.h"

namespace whinyard::admin {

namespace {

    struct Link {
        std::string_view target;
        std::string_view title;
        Role role;
    };

    constexpr Link links[] = {
        { "/console", "In force", Role::view },
        { "/console/session", "Change", Role::change },
        { "/console/history", "History", Role::view },
        { "/console/status", "Instances", Role::view },
        { "/console/trace", "Trace", Role::view },
        { "/console/bill", "Bill", Role::view },
    };

    void writeNavigation(Html& html, const Visitor& visitor)
    {
        html.element("a", "Skip to the content", { { "class", "skip" }, { "href", "#content" } });
        html.open("header").element("strong", "whinyard").open("nav", { { "aria-label", "Console" } });
        for (const Link& link : links) {
            if (link.role == Role::view || visitor.caller.role == Role::change)
                html.element("a", link.title, { { "href", std::string(link.target) } });
        }
        const std::string role = visitor.caller.role == Role::change ? "may change" : "may view";
        html.close().element("span", visitor.caller.name + ", " + role, { { "class", "who" } }).close();
    }

}

const std::string_view consoleStyle = R"(:root { --ink: #1c2024; --quiet: #5c6670; --line: #d5dae0; --back: #f5f6f8; --mark: #0b5cad; --bad: #a61b1b; --good: #1a6b33; }
* { box-sizing: border-box; }
body { margin: 0; font: 16px/1.5 system-ui, "Segoe UI", "DejaVu Sans", sans-serif; color: var(--ink); background: var(--back); }
header { display: flex; flex-wrap: wrap; gap: 0.3rem 1.5rem; align-items: baseline; padding: 0.7rem 1.5rem; background: #fff; border-bottom: 1px solid var(--line); }
nav { display: flex; flex-wrap: wrap; gap: 0.3rem 1.2rem; }
.who { margin-left: auto; color: var(--quiet); }
main { max-width: 76rem; margin: 0 auto; padding: 1rem 1.5rem 4rem; }
section { background: #fff; border: 1px solid var(--line); border-radius: 6px; padding: 0.4rem 1.2rem 1.1rem; margin: 1.2rem 0; }
h1 { font-size: 1.5rem; margin: 0.8rem 0 0.2rem; } h2 { font-size: 1.12rem; margin: 0.8rem 0 0.5rem; }
p { margin: 0.4rem 0; max-width: 62rem; } .hint, .quiet { color: var(--quiet); font-size: 0.9rem; margin: 0.1rem 0 0.3rem; }
a { color: var(--mark); } .skip { position: absolute; left: -99rem; } .skip:focus { left: 1rem; top: 0.5rem; background: #fff; padding: 0.3rem; }
.wide { overflow-x: auto; }
table { border-collapse: collapse; width: 100%; font-size: 0.92rem; } th, td { text-align: left; vertical-align: top; padding: 0.38rem 1rem 0.38rem 0; border-bottom: 1px solid var(--line); }
th { color: var(--quiet); font-weight: 600; vertical-align: bottom; } td:first-child { white-space: nowrap; } td { overflow-wrap: break-word; } td.number, th.number { text-align: right; font-variant-numeric: tabular-nums; }
td.do { white-space: nowrap; text-align: right; padding-right: 0; }
.field { margin: 0 0 1.1rem; padding: 0; border: 0; } label, legend { font-weight: 600; display: block; padding: 0; }
input[type=text], input[type=password], select { font: inherit; padding: 0.35rem 0.5rem; border: 1px solid #8b96a1; border-radius: 4px; background: #fff; width: 100%; max-width: 26rem; }
label.box { font-weight: 400; display: inline-flex; gap: 0.4rem; align-items: center; margin: 0.15rem 1.4rem 0.15rem 0; } label.step { font-weight: 400; margin: 0.25rem 0; } label.step select { margin-left: 0.6rem; max-width: 20rem; }
button { font: inherit; padding: 0.35rem 0.9rem; border: 1px solid #8b96a1; border-radius: 4px; background: #fff; color: var(--ink); cursor: pointer; margin: 0.1rem 0.3rem 0.1rem 0; }
td.do button { padding: 0.05rem 0.6rem; font-size: 0.9rem; margin: 0 0 0 0.3rem; } button.main { background: var(--mark); border-color: var(--mark); color: #fff; } button.danger { color: var(--bad); border-color: var(--bad); }
:focus-visible { outline: 3px solid #f0a500; outline-offset: 1px; }
.notice, .faults { border-left: 5px solid var(--mark); background: #fff; padding: 0.5rem 1rem; margin: 1rem 0; } .faults { border-color: var(--bad); } .fault { color: var(--bad); font-weight: 600; }
.outcome { font-size: 1.15rem; font-weight: 600; } .good { color: var(--good); } .bad, .gap { color: var(--bad); } .sides { display: grid; grid-template-columns: repeat(auto-fit, minmax(24rem, 1fr)); gap: 0 1.2rem; }
pre { background: #fff; border: 1px solid var(--line); padding: 0.8rem; overflow: auto; max-height: 30rem; font-size: 0.85rem; } code { font-size: 0.92em; }
)";

std::string wrapPage(const Visitor& visitor, const std::string& title, const std::string& content, int refresh)
{
    Html head;
    head.open("head").single("meta", { { "charset", "utf-8" } });
    head.single("meta", { { "name", "viewport" }, { "content", "width=device-width, initial-scale=1" } });
    if (refresh > 0)
        head.single("meta", { { "http-equiv", "refresh" }, { "content", std::to_string(refresh) } });
    head.element("title", title + " · whinyard").single("link", { { "rel", "stylesheet" }, { "href", "/console/style.css" } }).close();
    Html navigation;
    writeNavigation(navigation, visitor);
    Html heading;
    heading.element("h1", title);
    return "<!DOCTYPE html>\n<html lang=\"en\">\n" + head.take() + "<body>\n" + navigation.take() + "<main id=\"content\">\n" + heading.take() + content + "</main>\n</body>\n</html>\n";
}

void writeDifferences(Html& html, const std::vector<config::Difference>& differences)
{
    if (differences.empty()) {
        html.element("p", "No difference.", { { "class", "quiet" } });
        return;
    }
    html.open("div", { { "class", "wide" } }).open("table").open("tr");
    for (const char* title : { "Change", "Where", "Before", "After" })
        html.element("th", title, { { "scope", "col" } });
    html.close();
    for (const config::Difference& difference : differences) {
        html.open("tr").element("td", config::toText(difference.change)).element("td", difference.path);
        html.element("td", difference.before).element("td", difference.after).close();
    }
    html.close().close();
}

std::string failurePage(const Visitor& visitor, const Failure& failure)
{
    Html html;
    html.open("div", { { "class", "faults" }, { "role", "alert" } }).element("p", failure.reason).close();
    if (failure.kind == ErrorKind::storeUncertain)
        html.element("p", "Go back and submit again: the same form session gives the same result, however often it is submitted.");
    return wrapPage(visitor, std::string(answerFor(failure.kind).name), html.take());
}

}
