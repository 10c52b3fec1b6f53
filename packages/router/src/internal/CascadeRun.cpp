#include "internal/CascadeRun.h"

#include "internal/Rating.h"

namespace whinyard::router {

CascadeRun::CascadeRun(RequestContext& context, const policy::VersionChoice& choice, const ChatRequest& request, std::string application)
    : m_context(context)
    , m_request(request)
    , m_application(std::move(application))
    , m_qualityTarget(choice.qualityTarget)
{
    for (const VersionName& version : choice.candidates) {
        policy::CascadeStep step = context.core.parts.directory.expectation(version, context.now());
        const config::Version* priced = config::findVersion(context.configuration->document, version);
        step.costPerThousandTokens = priced ? priced->costPerThousandTokens : 1;
        m_steps.push_back(step);
    }
    m_plan = context.core.cascades.start(question(), context.core.random);
    if (m_steps.size() > 1)
        recordStep(m_plan.reason);
}

policy::CascadeQuestion CascadeRun::question() const
{
    policy::CascadeQuestion question;
    question.application = m_application;
    question.qualityTarget = m_qualityTarget;
    question.promptTokens = estimatedTokens(m_request);
    question.steps = m_steps;
    question.firstTokenWithin = m_context.timeLeft();
    question.judgeAvailable = ratingAvailable(m_context.core, m_context.now());
    question.judgeTime = m_context.core.ratings.time;
    return question;
}

void CascadeRun::recordStep(policy::CascadeReason reason) const
{
    m_context.record(EventKind::cascadeStep, { .version = version(), .reason = std::string(toText(reason)) });
}

bool CascadeRun::accepts(const std::string& answer)
{
    const std::optional<double> score = rateNow(m_context, { version(), m_application, m_request.prompt, answer });
    const policy::CascadeContinuation continuation = m_context.core.cascades.afterStep(question(), m_plan.step, score);
    if (!continuation.show)
        m_plan = continuation.next;
    recordStep(continuation.reason);
    return continuation.show;
}

bool CascadeRun::goOnAfterFailure(const Failure& failure)
{
    if (m_plan.step + 1 >= m_steps.size())
        return false;
    m_plan.step += 1;
    m_plan.judged = false;
    m_context.record(EventKind::cascadeStep, { .version = version(), .reason = "the step before failed: " + failure.reason });
    return true;
}

}
