//! Embeds the decision logic of one router: the inputs are events and the time, the outputs
//! actions.
//!
//! A real program owns sockets, threads and the clock. This example has none: time is a number, and
//! the only endpoint answers at once. Two client accounts each send two requests to an endpoint
//! with one slot; the slot goes to the account that received the least service.
//!
//! ```text
//! cargo run -p sedgeridge-coordination --example embed
//! ```

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_coordination::entry_events::Arrival;
use sedgeridge_coordination::entry_events::AttemptEnd;
use sedgeridge_coordination::entry_events::RequestKey;
use sedgeridge_coordination::node::Node;
use sedgeridge_coordination::node::NodeAction;
use sedgeridge_coordination::node::NodeEvent;
use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::RequestClass;
use sedgeridge_state::settings::load;

const SETTINGS: &str = "
[fleet]
name = embedded

[site.here]

[host.router-1]
site = here
caller_address = 127.0.0.1:8080
peer_address = 127.0.0.1:8081
operator_address = 127.0.0.1:8082

[pool.desk]

[service.assistant]
pool = desk
repeatable = yes

[endpoint.desk-1]
pool = desk
site = here
address = 127.0.0.1:9000
slots = 1

[account.crew-07]
key_sha256 = c0e08529e800386e724b465505d667c6eff99f1a18c08964ade7836390fc5c6e

[account.crew-08]
key_sha256 = 03c87fa8415e2e6a2dd31126417f2ff23e8c9920413ba3d679be31aabc9ac54c
";
/// Seed of the random choices; the same seed and events give the same actions.
const SEED: u64 = 42;
/// Time by which the clock advances per step.
const STEP_TIME: Duration = Duration::from_millis(10);
/// Number of steps after which the program stops waiting for answers.
const MAX_STEPS: u32 = 1_000;
/// Service charged for each request when it ends.
const CHARGED_TOKENS: u64 = 100;

fn main() {
    let settings = load(SETTINGS, "embedded", None).expect("the settings above are valid");
    let member = Member {
        host: "router-1".into(),
        incarnation: Incarnation(1),
    };
    let mut node = Node::new(member, settings, SEED);
    let mut account_by_request = BTreeMap::new();
    let mut events = Vec::new();
    for (key, account) in [
        (1, "crew-07"),
        (2, "crew-07"),
        (3, "crew-08"),
        (4, "crew-08"),
    ] {
        account_by_request.insert(RequestKey(key), account);
        events.push(NodeEvent::RequestArrived {
            arrival: arrival(key, account),
            claim: None,
        });
    }

    let mut answered = Vec::new();
    for step in 0..MAX_STEPS {
        let now = STEP_TIME * step;
        events.push(NodeEvent::Tick);
        let mut actions = Vec::new();
        for event in events.drain(..) {
            node.handle(now, event, &mut actions);
        }
        for action in actions {
            if let NodeAction::StartAttempt(start) = action {
                println!(
                    "{now:?}: {} runs on {}",
                    account_by_request[&start.key], start.endpoint
                );
                answered.push(account_by_request[&start.key]);
                events.push(NodeEvent::AttemptEnded {
                    key: start.key,
                    attempt: start.attempt,
                    end: AttemptEnd::Finished {
                        charged_tokens: CHARGED_TOKENS,
                        first_byte: Duration::ZERO,
                    },
                    recorded: None,
                });
            }
        }
        if answered.len() == account_by_request.len() && events.is_empty() {
            break;
        }
    }
    assert_eq!(
        answered.len(),
        account_by_request.len(),
        "every request has run"
    );
    assert_ne!(answered[0], answered[1], "the accounts take turns");
}

fn arrival(key: u64, account: &str) -> Arrival {
    let account = AccountId::from(account);
    Arrival {
        key: RequestKey(key),
        fingerprint: Fingerprint::of(&account, &key.to_be_bytes()),
        account,
        pool: "desk".into(),
        class: RequestClass::Interactive,
        repeatable: true,
        hint_tokens: CHARGED_TOKENS,
        prefix: None,
        deadline: Duration::from_secs(60),
    }
}
