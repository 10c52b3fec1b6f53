// One request's way through the steps of a cascade, or the one version that answers it.
#pragma once

#include "internal/RequestContext.h"
#include "whinyard/policy/SessionPins.h"
#include "whinyard/router/ChatRequest.h"

namespace whinyard::router {

class CascadeRun {
public:
    CascadeRun(RequestContext& context, const policy::VersionChoice& choice, const ChatRequest& request, std::string application);

    // The version to dispatch now.
    const VersionName& version() const { return m_steps[m_plan.step].version; }

    // Whether its whole answer is judged before anything of it is shown.
    bool judged() const { return m_plan.judged; }

    // Judges the whole answer of the current step. Returns true if it is to be shown, and goes on to the next step if not.
    bool accepts(const std::string& answer);

    // Goes on to the next step after the current one failed. Returns false when there is none.
    bool goOnAfterFailure(const Failure& failure);

private:
    policy::CascadeQuestion question() const;
    void recordStep(policy::CascadeReason reason) const;

    RequestContext& m_context;
    const ChatRequest& m_request;
    std::string m_application;
    double m_qualityTarget;
    std::vector<policy::CascadeStep> m_steps;
    policy::CascadePlan m_plan;
};

}
