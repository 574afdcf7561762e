//! Tests for the versions in reports between hosts of this version and of earlier ones.

use ciborium::Value;
use sedgeridge_fleet::peer_report::PeerReport;
use sedgeridge_fleet::store_version::StoreVersion;
use sedgeridge_fleet::store_version::TableVersions;

/// Bytes before the body of a report.
const HEAD_BYTES: usize = 9;

fn report() -> PeerReport {
    let version = |era, number| StoreVersion { era, number };
    let mut report = PeerReport::default();
    report.set_table_versions(TableVersions {
        config: version(2, 40),
        endpoints: version(3, 7),
        hosts: version(2, 41),
    });
    report
}

fn fields(encoded: &[u8]) -> Vec<(Value, Value)> {
    let body: Value = ciborium::from_reader(&encoded[HEAD_BYTES..]).expect("a body");
    body.into_map().expect("fields by name")
}

/// Guards against earlier hosts that can't read the reports of a host of this version.
#[test]
fn earlier_hosts_find_the_numbers_where_they_read_them() {
    let fields = fields(&report().encode());
    for (name, number) in [("c", 40), ("e", 7), ("v", 41)] {
        let field = (Value::from(name), Value::from(number));
        assert!(fields.contains(&field), "{name}");
    }
}

/// Guards against a host of an earlier version whose numbers from before a loss count as newer than what the store has
/// now.
#[test]
fn a_report_without_eras_tells_of_the_earliest_one() {
    let encoded = report().encode();
    let mut fields = fields(&encoded);
    fields.retain(|(name, _)| *name != Value::from("w"));
    let mut earlier = encoded[..HEAD_BYTES].to_vec();
    ciborium::into_writer(&Value::Map(fields), &mut earlier)
        .expect("writing to a vector cannot fail");
    let versions = PeerReport::decode(&earlier)
        .expect("a report")
        .table_versions();
    assert_eq!(versions.config, 40.into());
    assert_eq!(versions.endpoints, 7.into());
    assert!(versions.config < StoreVersion { era: 1, number: 1 });
}

/// Guards against hosts of this version and of earlier ones that can't read each other's reports, because notices of crashes
/// have changed.
#[test]
fn reports_with_earlier_notices_of_crashes_are_read() {
    let encoded = report().encode();
    let mut fields = fields(&encoded);
    let notices = fields
        .iter_mut()
        .find(|(name, _)| *name == Value::from("p"));
    let (_, notices) = notices.expect("a field that earlier hosts require");
    assert_eq!(*notices, Value::Array(Vec::new()));
    let notice = [("high", 1), ("low", 2)].map(|(name, number)| (name.into(), number.into()));
    let kind = Value::Map(vec![("kind".into(), "Finished".into())]);
    let notice = notice.into_iter().chain(kind.into_map().expect("a map"));
    *notices = Value::Array(vec![Value::Map(notice.collect())]);
    fields.retain(|(name, _)| *name != Value::from("q"));
    let mut earlier = encoded[..HEAD_BYTES].to_vec();
    ciborium::into_writer(&Value::Map(fields), &mut earlier)
        .expect("writing to a vector cannot fail");
    let decoded = PeerReport::decode(&earlier).expect("a report");
    assert_eq!(decoded.table_versions(), report().table_versions());
    assert!(decoded.suspects.is_empty());
}
