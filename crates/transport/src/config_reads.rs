//! Reads of the accepted configuration from the table service, in a separate thread.

use std::io;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;

use sedgeridge_coordination::config_events::ConfigEvent;
use sedgeridge_coordination::config_events::ConfigItem;
use sedgeridge_coordination::config_events::Generation;
use sedgeridge_coordination::node_config::ConfigRead;
use sedgeridge_coordination::store_call::ABSENT_VERSION;
use sedgeridge_coordination::store_call::CallId;
use sedgeridge_coordination::store_call::StoreAction;
use sedgeridge_coordination::store_call::StoreCheck;
use sedgeridge_coordination::store_call::StoreQuery;
use sedgeridge_coordination::store_call::StoreResult;
use sedgeridge_coordination::store_call::StoreRow;
use sedgeridge_protocol::peer_config::config_item;
use sedgeridge_state::config_records::CONFIG_HEAD_KEY;
use sedgeridge_state::config_records::ConfigChange;
use sedgeridge_state::config_records::ConfigContent;
use sedgeridge_state::config_records::ConfigHead;
use sedgeridge_state::config_records::config_change_key;
use sedgeridge_state::config_records::snapshot_generation;

use crate::table_calls::TableClient;

/// Reads that may wait for the thread; a read beyond them is dropped.
const READ_CHANNEL_LEN: usize = 16;

/// Channel to the thread that reads the configuration.
#[derive(Debug)]
pub struct ConfigReads {
    sender: SyncSender<ConfigRead>,
}

impl ConfigReads {
    /// Starts the thread. It converts the result of each read with `wrap` and sends it to `inputs`.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start<I: Send + 'static>(
        client: &TableClient,
        inputs: &SyncSender<I>,
        wrap: fn(ConfigEvent<ConfigContent>) -> I,
    ) -> io::Result<Self> {
        let (sender, reads) = sync_channel(READ_CHANNEL_LEN);
        let client = client.clone();
        let inputs = inputs.clone();
        thread::Builder::new()
            .name("config-reads".into())
            .spawn(move || run_reads(&client, &reads, &inputs, wrap))?;
        Ok(Self { sender })
    }

    /// Starts a read. If the channel is full, the read is dropped and ends by its timeout.
    pub fn read(&self, read: ConfigRead) {
        let _ = self.sender.try_send(read);
    }
}

fn run_reads<I>(
    client: &TableClient,
    reads: &Receiver<ConfigRead>,
    inputs: &SyncSender<I>,
    wrap: fn(ConfigEvent<ConfigContent>) -> I,
) {
    for read in reads {
        let event = run(client, &read);
        if inputs.send(wrap(event)).is_err() {
            return;
        }
    }
}

fn run(client: &TableClient, read: &ConfigRead) -> ConfigEvent<ConfigContent> {
    match read {
        ConfigRead::Head { call, is_exact } => match read_head(client, *call, *is_exact) {
            Some(generation) => ConfigEvent::HeadRead {
                call: *call,
                generation,
            },
            None => ConfigEvent::CallFailed { call: *call },
        },
        ConfigRead::Changes { call, after, up_to } => {
            match read_changes(client, *call, *after, *up_to) {
                Some(items) => ConfigEvent::Fetched { call: *call, items },
                None => ConfigEvent::CallFailed { call: *call },
            }
        }
    }
}

/// Reads the generation of the head; the inner value is `None` if no configuration was accepted yet.
///
/// An exact read is a transaction that commits only if there is no head. Otherwise its conflict contains
/// the current row, whereas a plain read may return an older version of it.
fn read_head(client: &TableClient, call: CallId, is_exact: bool) -> Option<Option<Generation>> {
    let key: Arc<str> = Arc::from(CONFIG_HEAD_KEY);
    let action = if is_exact {
        StoreAction::Transact {
            call,
            checks: vec![StoreCheck {
                key,
                version: ABSENT_VERSION,
            }],
            writes: Vec::new(),
        }
    } else {
        StoreAction::Read {
            call,
            query: StoreQuery::Keys(vec![key]),
        }
    };
    match client.run(&action) {
        StoreResult::Committed { .. } => Some(None),
        StoreResult::Conflict { rows } | StoreResult::Rows(rows) => {
            let Some(value) = rows.first().and_then(|row| row.value.as_ref()) else {
                return Some(None);
            };
            let head: ConfigHead = serde_json::from_str(value).ok()?;
            Some(Some(Generation(head.generation)))
        }
        StoreResult::Unavailable | StoreResult::Unknown => None,
    }
}

fn read_changes(
    client: &TableClient,
    call: CallId,
    after: Option<Generation>,
    up_to: Generation,
) -> Option<Vec<ConfigItem<ConfigContent>>> {
    let snapshot = snapshot_generation(up_to.0);
    let first = after.map_or(snapshot, |after| snapshot.max(after.0 + 1));
    let keys = (first..=up_to.0).map(|generation| Arc::from(config_change_key(generation)));
    let query = StoreQuery::Keys(keys.collect());
    match client.run(&StoreAction::Read { call, query }) {
        StoreResult::Rows(rows) => rows.iter().map(read_change).collect(),
        _ => None,
    }
}

fn read_change(row: &StoreRow) -> Option<ConfigItem<ConfigContent>> {
    let change: ConfigChange = serde_json::from_str(row.value.as_ref()?).ok()?;
    Some(config_item(change.generation, change.content))
}
