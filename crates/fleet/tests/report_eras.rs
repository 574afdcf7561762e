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
