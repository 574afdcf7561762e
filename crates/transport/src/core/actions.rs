//! Executes the actions that a router's node returns.

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
use crate::answer::Refusal;
use crate::core::Core;
use crate::core::CoreInput;
use crate::core::report_refusal;
use crate::endpoint_call::AttemptResult;
use crate::endpoint_call::AttemptSpec;
use crate::event_log::LogEvent;
use crate::event_log::log_info;
use crate::event_log::log_warn;
use crate::peers::OutgoingMessage;
use crate::peers::PeerPayload;
use crate::recorded::replay_parts;

impl<C: Clock> Core<C> {
    pub(super) fn execute(&mut self, action: NodeAction) {
        match action {
            NodeAction::StartAttempt(start) => self.start_attempt(&start),
            NodeAction::GiveUp(give_up) => {
                let refusal = Refusal {
                    reason: give_up.reason,
                    outcome: give_up.outcome,
                    retry_after: give_up.retry_after,
                    detail: String::new(),
                };
                self.give_up(give_up.key, refusal);
            }
            NodeAction::Replay { key, answer } => self.replay(key, &answer),
            NodeAction::RequestRetried { key, reason } => {
                counter!("sedgeridge_retries_total", "reason" => reason.as_str()).increment(1);
                let fields = format_args!("request={} reason={}", key.0, reason.as_str());
                log_info(LogEvent::RequestRetried, fields);
            }
            NodeAction::CallStore(action) => {
                if let Some(event) = self.table.call(action) {
                    self.on_event(NodeEvent::StoreCallEnded(event));
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
                // Membership messages may be lost. A message dropped for a full channel is counted but not
                // reported to the node, like one lost in the network.
                let payload = PeerPayload::Datagram(membership::encode(&message));
                self.hand_to_peers(to, payload);
            }
            NodeAction::ReadLoad { endpoint } => {
                if let Some(settings) = self.directory.endpoint(&endpoint) {
                    self.load_reads.start_read(&endpoint, settings.address);
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
                self.on_input(CoreInput::Stop);
            }
            NodeAction::Send { to, message } => self.send(to, &message),
        }
    }

    pub(super) fn start_attempt(&mut self, start: &StartAttempt) {
        self.running_attempts.insert(start.attempt, start.key);
        let spec = self.attempt_spec(start);
        let started = spec.is_some_and(|spec| self.workers.start(spec).is_ok());
        if !started {
            let end = AttemptEnd::Failed {
                failure: AttemptFailure::NotStarted,
                sent_tokens: start.resume_after_tokens,
                charged_tokens: 0,
                head_sent: start.head_sent,
            };
            let result = AttemptResult {
                end,
                recorded: None,
            };
            self.end_attempt(start.attempt, result);
        }
    }

    pub(super) fn attempt_spec(&self, start: &StartAttempt) -> Option<AttemptSpec> {
        let pending = self.pending.get(&start.key)?;
        let endpoint = self.directory.endpoint(&start.endpoint)?;
        let attempt_id = AttemptId {
            member: self.member.clone(),
            sequence: start.attempt.0,
        };
        Some(AttemptSpec {
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
        for part in replay_parts(recorded, pending.call.form) {
            // The channel is empty and has room for every part of a replay.
            let _ = pending.answer.try_send(part);
        }
    }

    pub(super) fn give_up(&mut self, key: RequestKey, refusal: Refusal) {
        report_refusal(key, &refusal);
        if let Some(pending) = self.pending.remove(&key) {
            // A full channel means that the caller stopped reading in the middle of a stream. Dropping
            // the sender then ends the stream without its end mark.
            let _ = pending.answer.try_send(AnswerPart::Refusal(refusal));
        }
    }

    pub(super) fn send(&mut self, to: Member, message: &PeerMessage) {
        counter!("sedgeridge_peer_sent_total", "kind" => message.kind()).increment(1);
        let payload = PeerPayload::Stream(encode(message));
        if !self.hand_to_peers(to.host.clone(), payload) {
            self.on_event(NodeEvent::PeerMessagesLost { host: to.host });
        }
    }

    /// Hands a message to the peers thread; false if its channel is full and the message is lost.
    pub(super) fn hand_to_peers(&self, to: HostId, payload: PeerPayload) -> bool {
        let Some(host) = self.directory.settings.host(to.as_str()) else {
            counter!("sedgeridge_peer_drops_total", "reason" => "unknown_host").increment(1);
            return true;
        };
        let outgoing = OutgoingMessage {
            address: host.peer_address,
            to,
            payload,
        };
        let sent = self.peers.try_send(outgoing).is_ok();
        if !sent {
            counter!("sedgeridge_peer_drops_total", "reason" => "ring_full").increment(1);
        }
        sent
    }
}
