#pragma once

#include "rattandock/adapters/http_message.hpp"
#include "rattandock/adapters/job_json.hpp"
#include "rattandock/adapters/metrics.hpp"
#include "rattandock/app/answer_board.hpp"
#include "rattandock/app/decision_loop.hpp"
#include "rattandock/app/routing_snapshot.hpp"
#include "rattandock/core/home_token.hpp"

namespace rattandock::app {

/// The routes of the caller listener. Thread safety: serve() may run on any I/O thread.
class CallerApi
{
public:
    CallerApi(DecisionLoop &loop, AnswerBoard &answers, adapters::Metrics &metrics,
              const ports::Clock &clock, const Routing &routing, core::TokenAuthority tokens);

    adapters::HttpResponse serve(const adapters::HttpRequest &request);

private:
    adapters::HttpResponse route(const adapters::HttpRequest &request);
    adapters::HttpResponse issueToken() const;
    adapters::HttpResponse submit(const adapters::HttpRequest &request);
    adapters::HttpResponse show(const JobId &job);
    adapters::HttpResponse cancel(const JobId &job);
    adapters::HttpResponse refuse(unsigned status, std::string_view reason,
                                  const Findings &findings);

    DecisionLoop &m_loop;
    AnswerBoard &m_answers;
    adapters::Metrics &m_metrics;
    const ports::Clock &m_clock;
    const Routing &m_routing;
    core::TokenAuthority m_tokens;
};

} // namespace rattandock::app
