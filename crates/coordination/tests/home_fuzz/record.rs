//! The oracle's record of one entry router.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_coordination::pool_messages::Demand;
use sedgeridge_coordination::pool_messages::GrantId;
use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::RequestClass;

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Stage {
    Sent(Duration),
    TimedOut,
    Acknowledged,
}

#[derive(Debug, Clone)]
pub struct Held {
    pub id: GrantId,
    pub account: AccountId,
    pub class: RequestClass,
    pub endpoint: EndpointId,
    pub estimate_tokens: u64,
    pub stage: Stage,
}

impl Held {
    pub fn occupies_slot(&self) -> bool {
        self.stage != Stage::TimedOut
    }
}

#[derive(Debug)]
pub struct Record {
    pub member: Member,
    pub last_sequence: Option<u64>,
    pub grants_received: u64,
    pub last_granted: u64,
    pub suspended: bool,
    pub demand: Vec<Demand>,
    pub held: Vec<Held>,
    pub served_tokens: BTreeMap<AccountId, u64>,
}

pub fn new_record(member: &Member) -> Record {
    Record {
        member: member.clone(),
        last_sequence: None,
        grants_received: 0,
        last_granted: 0,
        suspended: false,
        demand: Vec::new(),
        held: Vec::new(),
        served_tokens: BTreeMap::new(),
    }
}
