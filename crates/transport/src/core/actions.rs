//! Carries out what the decisions want done.

use metrics::counter;
use sedgeridge_coordination::clock::Clock;
use sedgeridge_coordination::entry_events::AttemptEnd;
use sedgeridge_coordination::entry_events::AttemptFailure;
use sedgeridge_coordination::entry_events::RequestKey;
use sedgeridge_coordination::entry_events::StartAttempt;
use sedgeridge_coordination::node::NodeAction;
use sedgeridge_coordination::node::NodeEvent;
use sedgeridge_coordination::node::PeerMessage;
use sedgeridge_protocol::membership;
use sedgeridge_protocol::peer::encode;
use sedgeridge_state::claim_record::RecordedAnswer;
use sedgeridge_state::ids::AttemptId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Member;

use crate::answer::AnswerPart;
use crate::answer::GivenUp;
use crate::core::Core;
use crate::core::CoreInput;
use crate::core::count_refusal;
use crate::endpoint_call::AttemptOrder;
use crate::endpoint_call::EndedCall;
use crate::event_log::LogEvent;
use crate::event_log::log_info;
use crate::event_log::log_warn;
use crate::peers::PeerOut;
use crate::peers::PeerPayload;
use crate::recorded::replayed;

impl<C: Clock> Core<C> {
    pub(super) fn act(&mut self, action: NodeAction) {
        match action {
            NodeAction::StartAttempt(start) => self.start(&start),
            NodeAction::GiveUp(give_up) => {
                let given_up = GivenUp {
                    reason: give_up.reason,
                    outcome: give_up.outcome,
                    retry_after: give_up.retry_after,
                    detail: String::new(),
                };
                self.give_up(give_up.key, given_up);
            }
            NodeAction::Replay { key, answer } => self.replay(key, &answer),
            NodeAction::RequestRetried { key, reason } => {
                counter!("sedgeridge_retries_total", "reason" => reason.as_str()).increment(1);
                let fields = format_args!("request={} reason={}", key.0, reason.as_str());
                log_info(LogEvent::RequestRetried, fields);
            }
            NodeAction::CallStore(action) => {
                if let Some(event) = self.table.call(action) {
                    self.event(NodeEvent::StoreCallEnded(event));
                }
            }
            NodeAction::ReadConfig(read) => self.config_reads.read(read),
            NodeAction::SettingsChanged {
                generation,
                settings,
            } => {
                let accounts = settings.accounts.len();
                self.directory = self.shared_directory.replace(*settings);
                log_info(
                    LogEvent::ConfigAdopted,
                    format_args!("generation={} accounts={accounts}", generation.0),
                );
            }
            NodeAction::ConfigUnusable {
                generation,
                findings,
            } => log_warn(
                LogEvent::ConfigUnusable,
                format_args!("generation={} findings={findings:?}", generation.0),
            ),
            NodeAction::Ready => {
                self.ready = true;
                self.publish();
            }
            NodeAction::SendMembership { to, message } => {
                // A membership message may be lost; the ring's end is counted like the network's.
                let payload = PeerPayload::Datagram(membership::encode(&message));
                self.send_out(to, payload);
            }
            NodeAction::ReadLoad { endpoint } => {
                if let Some(known) = self.directory.endpoint(&endpoint) {
                    self.load_reads.ask(&endpoint, known.address);
                }
            }
            NodeAction::MembersChanged(live) => {
                let names: Vec<&str> = live.iter().map(|m| m.member.host.as_str()).collect();
                log_info(
                    LogEvent::MembersChanged,
                    format_args!("live={} hosts={}", names.len(), names.join(",")),
                );
            }
            NodeAction::Outranked => {
                log_warn(LogEvent::Outranked, "");
                self.input(CoreInput::Stop);
            }
            NodeAction::Send { to, message } => self.send(to, &message),
        }
    }

    pub(super) fn start(&mut self, start: &StartAttempt) {
        self.running.insert(start.attempt, start.key);
        let order = self.order(start);
        let started = order.is_some_and(|order| self.workers.start(order).is_ok());
        if !started {
            let end = AttemptEnd::Failed {
                failure: AttemptFailure::NotStarted,
                sent_tokens: start.resume_after_tokens,
                charged_tokens: 0,
                head_sent: start.head_sent,
            };
            let ended = EndedCall {
                end,
                recorded: None,
            };
            self.attempt_ended(start.attempt, ended);
        }
    }

    pub(super) fn order(&self, start: &StartAttempt) -> Option<AttemptOrder> {
        let pending = self.pending.get(&start.key)?;
        let endpoint = self.directory.endpoint(&start.endpoint)?;
        let attempt_id = AttemptId {
            member: self.member.clone(),
            sequence: start.attempt.0,
        };
        Some(AttemptOrder {
            attempt: start.attempt,
            call: pending.call.clone(),
            address: endpoint.address,
            attempt_id: attempt_id.to_string(),
            resume_after_tokens: start.resume_after_tokens,
            head_sent: start.head_sent,
            last_attempt: start.last_attempt,
            time_left: pending.deadline.saturating_sub(self.clock.now()),
            output_token_factor: self.directory.settings.fair.output_token_factor.into(),
            answer: pending.answer.clone(),
        })
    }

    pub(super) fn replay(&mut self, key: RequestKey, recorded: &RecordedAnswer) {
        counter!("sedgeridge_replays_total").increment(1);
        let Some(pending) = self.pending.remove(&key) else {
            return;
        };
        for part in replayed(recorded, pending.call.form) {
            // The ring is empty and holds more than a replay has parts.
            let _ = pending.answer.try_send(part);
        }
    }

    pub(super) fn give_up(&mut self, key: RequestKey, given_up: GivenUp) {
        count_refusal(key, &given_up);
        if let Some(pending) = self.pending.remove(&key) {
            // A ring that is full belongs to a caller who stopped reading in the middle of a
            // stream; dropping the sender ends the stream without its end mark.
            let _ = pending.answer.try_send(AnswerPart::GivenUp(given_up));
        }
    }

    pub(super) fn send(&mut self, to: Member, message: &PeerMessage) {
        counter!("sedgeridge_peer_sent_total", "kind" => message.kind()).increment(1);
        let payload = PeerPayload::Stream(encode(message));
        if !self.send_out(to.host.clone(), payload) {
            self.event(NodeEvent::PeerMessagesLost { host: to.host });
        }
    }

    /// Hands a message to the peers thread; false when it is lost.
    pub(super) fn send_out(&self, to: HostId, payload: PeerPayload) -> bool {
        let Some(known) = self.directory.settings.host(to.as_str()) else {
            counter!("sedgeridge_peer_drops_total", "reason" => "unknown_host").increment(1);
            return true;
        };
        let out = PeerOut {
            address: known.peer_address,
            to,
            payload,
        };
        let sent = self.peers.try_send(out).is_ok();
        if !sent {
            counter!("sedgeridge_peer_drops_total", "reason" => "ring_full").increment(1);
        }
        sent
    }
}
