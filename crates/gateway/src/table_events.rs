//! Log lines and counters about this host's copies of the platform's tables.

use std::net::SocketAddr;

use sedgeridge_fleet::row_watch::RowWatch;
use sedgeridge_fleet::row_watch::StoreAnswer;
use sedgeridge_fleet::row_watch::TableCopy;
use sedgeridge_fleet::store_version::StoreVersion;

use crate::clock::Clock;
use crate::event_log::LogEvent;
use crate::event_log::millis;
use crate::gateway::Gateway;
use crate::meters;
use crate::store::Table;
use crate::wire::WireFormat;

/// State of a copy that is compared before and after a change.
#[derive(Debug)]
pub struct WatchState {
    version: StoreVersion,
    lapsing_count: usize,
    outdated_rows: u64,
}

impl WatchState {
    /// Returns the state of a copy.
    pub fn of(watch: &RowWatch) -> Self {
        Self {
            version: watch.changed_version(),
            lapsing_count: watch.lapsing_count(),
            outdated_rows: watch.outdated_rows(),
        }
    }
}

/// Records the effect of a change other than changed rows. `told_by` is the host that sent it, if it
/// did not come from the store.
pub fn record_change<W: WireFormat, C: Clock>(
    gateway: &Gateway<W, C>,
    table: Table,
    told_by: Option<SocketAddr>,
    before: &WatchState,
    after: &WatchState,
) {
    let told_by = told_by.map(|from| from.to_string());
    let known = before.version;
    let version = after.version;
    if known > StoreVersion::default() && version.era > known.era {
        let fields = [
            ("table", table.as_str().into()),
            ("era", version.era.into()),
            ("version", version.number.into()),
            ("known_era", known.era.into()),
            ("known_version", known.number.into()),
            ("told_by", told_by.clone().into()),
        ];
        gateway.log(LogEvent::StoreRestored, &fields);
        meters::count_restored_table(table.as_str());
    }
    let outdated_rows = after.outdated_rows - before.outdated_rows;
    if outdated_rows > 0 {
        let fields = [
            ("table", table.as_str().into()),
            ("rows", outdated_rows.into()),
            ("era", version.era.into()),
            ("known_version", version.number.into()),
            ("told_by", told_by.clone().into()),
        ];
        gateway.log(LogEvent::RowsOutdated, &fields);
        meters::count_outdated_rows(table.as_str(), outdated_rows);
    }
    if after.lapsing_count > before.lapsing_count {
        let fields = [
            ("table", table.as_str().into()),
            ("missing", after.lapsing_count.into()),
            ("version", version.number.into()),
            ("told_by", told_by.into()),
        ];
        gateway.log(LogEvent::EntriesMissing, &fields);
    }
}

/// Records another host's copy before it is applied.
pub fn record_copy<W: WireFormat, C: Clock>(
    gateway: &Gateway<W, C>,
    table: Table,
    known: StoreVersion,
    copy: &TableCopy,
    from: SocketAddr,
) {
    let fields = [
        ("table", table.as_str().into()),
        ("from", from.to_string().into()),
        ("era", copy.version.era.into()),
        ("version", copy.version.number.into()),
        ("known_era", known.era.into()),
        ("known_version", known.number.into()),
        ("rows", copy.rows.len().into()),
        ("missing", copy.lapsing.len().into()),
    ];
    gateway.log(LogEvent::CopyTaken, &fields);
}

/// Counts a call to the store before its answer is applied, and logs when the store stops answering,
/// answers again, or lacks the known version.
pub fn record_call<W: WireFormat, C: Clock>(
    gateway: &Gateway<W, C>,
    table: Table,
    watch: &RowWatch,
    answer: &StoreAnswer,
) {
    let known = watch.changed_version();
    let outcome = match answer {
        StoreAnswer::Rows { version, .. } if version.era < known.era => "outdated",
        StoreAnswer::Rows { .. } => "answered",
        StoreAnswer::HistoryGone => "history_gone",
        StoreAnswer::Failed => "failed",
    };
    meters::count_store_call(table.as_str(), outcome);
    if *answer == StoreAnswer::HistoryGone {
        let fields = [
            ("table", table.as_str().into()),
            ("known_version", known.number.into()),
        ];
        gateway.log(LogEvent::HistoryGone, &fields);
    }
    let is_answered = *answer != StoreAnswer::Failed;
    match (is_answered, watch.store_lost_since()) {
        (false, None) => {
            let fields = [("table", table.as_str().into())];
            gateway.log(LogEvent::StoreLost, &fields);
        }
        (true, Some(since)) => {
            let away = gateway.now().saturating_sub(since);
            let fields = [("table", table.as_str().into()), ("away_ms", millis(away))];
            gateway.log(LogEvent::StoreRegained, &fields);
        }
        _ => {}
    }
}
