//! Tests of the records of evacuated zones.

use super::*;

fn record(revision: u64, evacuated: bool) -> ZoneRecord {
    ZoneRecord {
        revision,
        evacuated,
    }
}

fn listed(zones: &[(&str, u64)]) -> BTreeMap<String, u64> {
    zones.iter().map(|(z, r)| ((*z).to_owned(), *r)).collect()
}

#[test]
fn test_zones_out_of_order_records() {
    let mut zones = Zones::default();
    assert!(zones.update("a", record(5, true)));
    assert!(!zones.update("a", record(3, false)), "an old reading");
    assert!(zones.is_evacuated("a"));
    assert!(zones.update("a", record(8, false)));
    assert!(
        !zones.update("a", record(5, true)),
        "the same record once more"
    );
    assert!(!zones.is_evacuated("a"));
    assert!(
        zones.update("a", record(9, true)),
        "evacuated a second time"
    );
}

#[test]
fn test_zones_list_lifts_missing() {
    let mut zones = Zones::default();
    zones.apply_list(&listed(&[("a", 4), ("b", 6)]), 7);
    assert_eq!(zones.evacuated().collect::<Vec<_>>(), ["a", "b"]);
    let changed = zones.apply_list(&listed(&[("b", 6)]), 12);
    assert_eq!(changed, ["a"]);
    assert!(
        !zones.update("a", record(4, true)),
        "from a peer with an older state"
    );
    assert_eq!(zones.evacuated().collect::<Vec<_>>(), ["b"]);
}

#[test]
fn test_zones_stale_list() {
    let mut zones = Zones::default();
    zones.update("a", record(20, true));
    assert_eq!(zones.apply_list(&listed(&[]), 15), Vec::<String>::new());
    assert!(zones.is_evacuated("a"));
    zones.update("a", record(25, false));
    assert_eq!(
        zones.apply_list(&listed(&[("a", 20)]), 22),
        Vec::<String>::new()
    );
    assert!(!zones.is_evacuated("a"));
}

#[test]
fn test_zones_empty_edition() {
    let mut zones = Zones::default();
    zones.apply_list(&listed(&[]), 3);
    assert_eq!(zones.edition(), 0);
    assert_eq!(zones.proto(), []);
}
